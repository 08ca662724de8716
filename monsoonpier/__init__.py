"""A layer-4 load balancer for services in one or more data centres."""

__version__ = "0.1.0"
