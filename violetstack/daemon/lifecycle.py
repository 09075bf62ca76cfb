"""The phase of the process: starting, accepting requests, shutting down."""

from __future__ import annotations

import trio


class Lifecycle:
    """Whether the endpoint list is known, new requests are taken, and shutdown has been asked for."""

    def __init__(self) -> None:
        """Creates the state of a process that has just begun."""
        self.started = False
        self.accepting = False
        self.stop = trio.Event()
