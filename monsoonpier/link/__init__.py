"""Sending by what a machine's link carries: nothing is lost to our own bursts."""
