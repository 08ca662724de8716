"""Tests of the operators' commands."""
