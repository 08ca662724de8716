"""Tests of process."""
