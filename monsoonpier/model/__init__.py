"""Values that every part shares. Nothing here does I/O."""
