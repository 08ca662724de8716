"""Tests of sending by link."""
