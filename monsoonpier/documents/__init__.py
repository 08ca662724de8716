"""Files that people write: settings of a process, configuration of services."""
