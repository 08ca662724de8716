"""Balancers of flows whose packets carry a token: the decision, and the process."""
