"""Small stand-ins for the systems around us: platform, target and fabric."""
