"""Parsers and state machines of the protocols; they take and return bytes and use no sockets."""
