"""Agents of flows whose packets carry a token: decisions, and the process."""
