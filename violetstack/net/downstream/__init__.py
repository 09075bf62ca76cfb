"""Client connections: the listener, and the connections that it accepts."""
