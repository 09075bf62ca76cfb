"""Fencing: actions under a lease that carry an outdated token are refused by whoever would apply them."""

from __future__ import annotations

from typing import NamedTuple

MAX_TRACKED_LEASES = 4_096  # whose newest token is remembered


class NewestToken(NamedTuple):
    """The newest fencing token of a lease, and the node that used it."""

    fencing_token: int
    node_id: int


class FencingFilter:
    """Remembers the newest fencing token of each lease.

    The lease protocol alone can't stop a holder that was paused between checking its lease and sending
    under it; the token that it sends is then older than its successor's.
    """

    def __init__(self) -> None:
        """Start without any token seen."""
        self._newest: dict[int, NewestToken] = {}

    def newest(self, lease_id: int) -> int:
        """Return the newest token seen of a lease, 0 if none was."""
        seen = self._newest.get(lease_id)
        return 0 if seen is None else seen.fencing_token

    def is_stale(self, lease_id: int, token: int, node_id: int) -> bool:
        """Return whether the token is older than the newest one, or is that one and another node's."""
        seen = self._newest.get(lease_id)
        if seen is None:
            return False
        return token < seen.fencing_token or (token == seen.fencing_token and node_id != seen.node_id)

    def record(self, lease_id: int, token: int, node_id: int) -> None:
        """Remember a token that was accepted; the lease that was recorded longest ago makes room."""
        self._newest.pop(lease_id, None)
        self._newest[lease_id] = NewestToken(token, node_id)
        if len(self._newest) > MAX_TRACKED_LEASES:
            del self._newest[next(iter(self._newest))]
