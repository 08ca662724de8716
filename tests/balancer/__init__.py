"""Tests of balancer."""
