"""The demo, the soak test and measurements; not part of the test suite."""
