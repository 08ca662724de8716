"""The demo and the measurements; none of them is a test."""
