"""The balancer process of each entry VM, which steers packets to targets."""
