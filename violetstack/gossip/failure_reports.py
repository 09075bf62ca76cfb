"""Decides which peers' failure reports count.

A dispatcher whose own network link is broken sees every endpoint fail. Its reports would make all the others
avoid healthy endpoints, so a peer that reports half of the endpoints within a window is not believed.
"""

from __future__ import annotations

from collections.abc import Sequence

REPORT_WINDOW_MS = 12_000.0
MIN_UNTRUSTED_REPORTS = 3  # in small sets one or two failed endpoints are already half of them
MAX_REPORTS_PER_PEER = 256  # bounds the memory that one peer can fill


class FailureReports:
    """The endpoints that each peer reported as failed within the window."""

    def __init__(self) -> None:
        """Starts without any report."""
        self._reported_at: dict[int, dict[bytes, float]] = {}

    def accept(self, now: float, peer: int, tags: Sequence[bytes], endpoint_count: int) -> bool:
        """Records a report and returns whether the peer is believed.

        Args:
            now: Milliseconds of the caller's clock.
            peer: Number of the reporting dispatcher.
            tags: Tags of the endpoints that it reports as failed.
            endpoint_count: Endpoints in the endpoint list.
        """
        reported = {
            tag: at for tag, at in self._reported_at.get(peer, {}).items() if at > now - REPORT_WINDOW_MS
        }
        reported.update(dict.fromkeys(tags, now))
        self._reported_at[peer] = dict(list(reported.items())[-MAX_REPORTS_PER_PEER:])
        return len(reported) < max(MIN_UNTRUSTED_REPORTS, endpoint_count / 2.0)

    def reported_count(self, peer: int) -> int:
        """Returns how many endpoints are on record as reported by a peer."""
        return len(self._reported_at.get(peer, {}))

    def clear(self) -> None:
        """Discards all reports."""
        self._reported_at.clear()
