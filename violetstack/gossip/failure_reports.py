"""Decides which peers' failure reports are trusted.

A dispatcher whose own network link is broken sees every endpoint fail. Its reports would make all other
dispatchers avoid healthy endpoints, so the reports of a peer that reports half of the endpoints within a
window are ignored.
"""

from __future__ import annotations

from collections.abc import Sequence

REPORT_WINDOW_MS = 12_000.0
MIN_UNTRUSTED_REPORTS = 3  # with few endpoints, one or two failed ones are already half of them
MAX_REPORTS_PER_PEER = 256  # bounds the memory that one peer can use


class FailureReports:
    """The endpoints that each peer has reported as failed within the window."""

    def __init__(self) -> None:
        """Starts without reports."""
        self._reported_at: dict[int, dict[bytes, float]] = {}

    def accept(self, now: float, peer: int, tags: Sequence[bytes], endpoint_count: int) -> bool:
        """Records a report and returns whether the peer is trusted.

        Args:
            now: The current time, in milliseconds of the caller's clock.
            peer: The number of the reporting dispatcher.
            tags: The tags of the endpoints that it reports as failed.
            endpoint_count: The number of endpoints in the endpoint list.
        """
        reported = {
            tag: at for tag, at in self._reported_at.get(peer, {}).items() if at > now - REPORT_WINDOW_MS
        }
        reported.update(dict.fromkeys(tags, now))
        self._reported_at[peer] = dict(list(reported.items())[-MAX_REPORTS_PER_PEER:])
        return len(reported) < max(MIN_UNTRUSTED_REPORTS, endpoint_count / 2.0)

    def reported_count(self, peer: int) -> int:
        """Returns the number of endpoints recorded as reported by a peer."""
        return len(self._reported_at.get(peer, {}))

    def clear(self) -> None:
        """Discards all reports."""
        self._reported_at.clear()
