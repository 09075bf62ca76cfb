"""The phase that the process is in, shared by those who start, serve and stop."""

from __future__ import annotations

import trio


class Lifecycle:
    """Whether the endpoint list is known, new requests are taken, and shutdown has been asked for."""

    def __init__(self) -> None:
        """Creates the state of a process that has just begun."""
        self.started = False
        self.accepting = False
        self.stop = trio.Event()
