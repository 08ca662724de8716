"""Message types exchanged between processes, and their codecs."""
