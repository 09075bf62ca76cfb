"""Client connections: the listener and what it accepts."""
