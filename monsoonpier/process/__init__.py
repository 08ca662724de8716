"""Parts shared by all long-running processes: logs, metrics, control, lifecycle."""
