"""Tests of agent."""
