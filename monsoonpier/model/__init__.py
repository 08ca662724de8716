"""Values that all parts of the product share. Nothing here does I/O."""
