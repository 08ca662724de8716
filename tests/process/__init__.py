"""Tests of processes: logs, metrics and failures."""
