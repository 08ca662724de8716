"""Tests of flows without a token."""
