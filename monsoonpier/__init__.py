"""A layer-4 load balancer for organisations whose operators work in the evenings."""

__version__ = "0.1.0"
