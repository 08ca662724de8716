"""The operators' commands, such as apply, status and evacuate."""
