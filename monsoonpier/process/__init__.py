"""What every long-running process shares: logs, metrics, control, life."""
