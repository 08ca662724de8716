"""Test doubles of the systems around monsoonpier: platform, target and fabric."""
