"""What a lease node reports to the program that runs it."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from violetstack.lease.proposer import HolderChange


class Broadcast(NamedTuple):
    """What the holder of a lease announced under its fencing token; the meaning of `value` is the lease's."""

    lease_id: int
    sender: int
    fencing_token: int
    value: int


class LeaseObserver(Protocol):
    """What a node reports."""

    def lease_changed(self, name: str, change: HolderChange) -> None:
        """This node acquired or lost a lease."""

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        """The holder of a lease announced something."""

    def broadcast_rejected(self, sender: int, fencing_token: int, newest_token: int) -> None:
        """A broadcast was outdated, or was sent in another dispatcher's name."""


class NullObserver:
    """A LeaseObserver that does nothing."""

    def lease_changed(self, name: str, change: HolderChange) -> None:
        """Do nothing."""

    def broadcast_received(self, now: float, broadcast: Broadcast) -> None:
        """Do nothing."""

    def broadcast_rejected(self, sender: int, fencing_token: int, newest_token: int) -> None:
        """Do nothing."""
