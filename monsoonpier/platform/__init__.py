"""The adapter to the users' platform: translates formats, makes no decisions."""
