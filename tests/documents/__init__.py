"""Tests of settings and configuration files."""
