"""The interface through which a lease node reports events to its caller."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from violetstack.lease.proposer import HolderChange


class Broadcast(NamedTuple):
    """An announcement by the holder of a lease, under its fencing token.

    The meaning of `value` depends on the lease.
    """

    lease_id: int
    sender: int
    fencing_token: int
    value: int


class LeaseObserver(Protocol):
    """Callbacks for the events of a node."""

    def lease_changed(self, name: str, change: HolderChange) -> None:
        """Called when this node has acquired or lost a lease."""

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        """Called for a valid broadcast of a lease holder."""

    def broadcast_rejected(self, sender: int, fencing_token: int, newest_token: int) -> None:
        """Called for a broadcast with an outdated token, or sent in the name of another dispatcher."""


class NullObserver:
    """A LeaseObserver that ignores all events."""

    def lease_changed(self, name: str, change: HolderChange) -> None:
        """Does nothing."""

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        """Does nothing."""

    def broadcast_rejected(self, sender: int, fencing_token: int, newest_token: int) -> None:
        """Does nothing."""
