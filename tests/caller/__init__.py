"""Tests of caller."""
