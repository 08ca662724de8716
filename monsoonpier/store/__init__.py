"""The platform's key-value service: its interface, a client, and leases."""
