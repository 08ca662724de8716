"""Parsing and checking of settings files and service configuration files."""
