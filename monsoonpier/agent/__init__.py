"""The process beside each target: holds flows, requests and their outcomes."""
