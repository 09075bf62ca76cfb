"""Fencing: the receiver of an action under a lease rejects the action if its fencing token is outdated."""

from __future__ import annotations

from typing import NamedTuple

MAX_TRACKED_LEASES = 4_096  # bounds the memory


class NewestToken(NamedTuple):
    """The newest fencing token of a lease, and the node that used it."""

    fencing_token: int
    node_id: int


class FencingFilter:
    """Keeps the newest fencing token of each lease.

    The lease protocol alone cannot stop a holder that is paused after it has checked its lease and before it
    sends a message under the lease. The fencing token in that message is then older than the next holder's.
    """

    def __init__(self) -> None:
        """Creates a filter that has seen no token."""
        self._newest: dict[int, NewestToken] = {}

    def newest(self, lease_id: int) -> int:
        """Returns the newest token seen for a lease, 0 if there is none."""
        seen = self._newest.get(lease_id)
        return 0 if seen is None else seen.fencing_token

    def is_stale(self, lease_id: int, token: int, node_id: int) -> bool:
        """Returns whether the token is older than the newest one, or is the newest one of another node."""
        seen = self._newest.get(lease_id)
        if seen is None:
            return False
        return token < seen.fencing_token or (token == seen.fencing_token and node_id != seen.node_id)

    def record(self, lease_id: int, token: int, node_id: int) -> None:
        """Records an accepted token; beyond MAX_TRACKED_LEASES drops the least recently recorded lease."""
        self._newest.pop(lease_id, None)
        self._newest[lease_id] = NewestToken(token, node_id)
        if len(self._newest) > MAX_TRACKED_LEASES:
            del self._newest[next(iter(self._newest))]
