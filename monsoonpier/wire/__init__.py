"""Typed messages and their codecs, one module per conversation."""
