"""Tests; the folders mirror the package's. Run with ``python -m tests``."""
