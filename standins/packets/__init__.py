"""Test doubles for flows without a token: store, target, callers and fabric."""
