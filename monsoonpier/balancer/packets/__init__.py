"""Balancer of flows without a token: steering decisions and the process."""
