"""Tests of the key-value store's clients and leases."""
