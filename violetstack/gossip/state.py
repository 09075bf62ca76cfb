"""The loads that the other dispatchers of the tier have announced for each endpoint."""

from __future__ import annotations

from collections import deque

import msgspec

from violetstack.gossip.codec import (
    FAILURE_CODE,
    RESET_DATAGRAM,
    SMALLEST_STEP,
    decode_datagram,
    decode_load,
)
from violetstack.gossip.failure_reports import FailureReports

LOAD_BY_CODE = tuple(decode_load(code) for code in range(FAILURE_CODE))


class _Announcement(msgspec.Struct, frozen=True, gc=False):
    at_ms: float
    tag: bytes
    peer: int
    load: float


class GossipState:
    """The announced loads of all peers, and their sum for each endpoint.

    A load is valid until its sender announces another one or a reset, or until `expiry_ms` have passed. The
    expiry removes the loads of a dispatcher that crashed and will announce no reset.

    Attributes:
        active_peers: How many peers had sent a datagram within `expiry_ms` at the last call of `expire`.
        failure_reports: The failure reports of the peers.
    """

    def __init__(self, expiry_ms: float) -> None:
        """Starts without loads; an announced load expires after `expiry_ms` milliseconds."""
        self.active_peers = 0
        self.failure_reports = FailureReports()
        self._expiry_ms = expiry_ms
        self._announced: dict[tuple[bytes, int], _Announcement] = {}  # by tag and peer
        self._arrivals: deque[_Announcement] = deque()  # oldest first; superseded ones stay until expiry
        self._totals: dict[bytes, float] = {}
        self._last_heard: dict[int, float] = {}

    def receive(self, now: float, peer: int, payload: bytes, endpoint_count: int) -> list[bytes]:
        """Applies a datagram and returns the tags of the endpoints that a trusted peer reports as failed.

        Args:
            now: The current time, in milliseconds of the caller's clock.
            peer: The number of the sending dispatcher.
            payload: The datagram.
            endpoint_count: The number of endpoints in the endpoint list.

        Raises:
            GossipDecodeError: The datagram is malformed; the state is unchanged.
        """
        if payload == RESET_DATAGRAM:
            self._last_heard[peer] = now
            self._reset_peer(now, peer)
            return []
        entries = decode_datagram(payload)
        self._last_heard[peer] = now
        failed: list[bytes] = []
        for tag, code in entries:
            if code == FAILURE_CODE:
                failed.append(tag)
            else:
                self._set_load(now, tag, peer, LOAD_BY_CODE[code])
        if failed and self.failure_reports.accept(now, peer, failed, endpoint_count):
            return failed
        return []

    def clear(self) -> None:
        """Discards all announcements.

        Called after a pause of the process: the announcements from before the pause are stale, and those sent
        during it may be lost.
        """
        self.active_peers = 0
        self.failure_reports.clear()
        self._announced = {}
        self._arrivals.clear()
        self._totals = {}
        self._last_heard = {}

    def load_at(self, tag: bytes) -> float:
        """Returns the sum of the loads that the peers announced for an endpoint."""
        return self._totals.get(tag, 0.0)

    def expire(self, now: float) -> None:
        """Removes loads that have expired; to be called before loads are read."""
        oldest = now - self._expiry_ms
        self.active_peers = sum(1 for at in self._last_heard.values() if at > oldest)
        while self._arrivals and self._arrivals[0].at_ms <= oldest:
            expired = self._arrivals.popleft()
            if self._announced.get((expired.tag, expired.peer)) is expired:
                self._set_load(now, expired.tag, expired.peer, 0.0)

    @property
    def announcement_count(self) -> int:
        """The number of announcements in memory, including superseded ones."""
        return len(self._arrivals)

    def _reset_peer(self, now: float, peer: int) -> None:
        for tag, sender in list(self._announced):
            if sender == peer:
                self._set_load(now, tag, peer, 0.0)

    def _set_load(self, now: float, tag: bytes, peer: int, load: float) -> None:
        previous = self._announced.pop((tag, peer), None)
        total = self._totals.get(tag, 0.0) - (0.0 if previous is None else previous.load) + load
        if load > 0.0:
            announcement = _Announcement(now, tag, peer, load)
            self._announced[(tag, peer)] = announcement
            self._arrivals.append(announcement)
        # Rounding errors leave a remainder of less than half a step, which would keep idle endpoints here.
        if total > SMALLEST_STEP / 2.0:
            self._totals[tag] = total
        else:
            self._totals.pop(tag, None)
