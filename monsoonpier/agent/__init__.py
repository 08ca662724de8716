"""Agents: the processes that run beside targets and own their flows."""
