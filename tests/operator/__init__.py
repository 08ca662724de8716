"""Tests of operator."""
