"""Agents of flows without a token: packet logic and process."""
