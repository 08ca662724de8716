"""Stand-ins of the users' platform: its store, a target and a caller of packets."""
