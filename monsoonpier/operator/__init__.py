"""The operators' commands: check, apply, diff, status, history, rollback, drain."""
