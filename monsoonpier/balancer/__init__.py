"""The process on each entry VM: steers packets and keeps nothing per flow."""
