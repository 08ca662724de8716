"""Client interface, implementations and leases of the platform's key-value store."""
