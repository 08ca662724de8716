"""Agents of flows without a token: decisions, and the process around them."""
