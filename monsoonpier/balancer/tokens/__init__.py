"""Balancer for flows whose packets carry a token."""
