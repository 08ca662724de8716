"""Tests of model."""
