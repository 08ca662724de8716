"""Tests of the link's pacing."""
