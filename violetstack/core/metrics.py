"""Counters of requests and their outcomes by class, since the process started."""

from __future__ import annotations

import msgspec

from violetstack.core.records import RequestOutcome


class ClassMetrics(msgspec.Struct):
    """Counters of one class of requests.

    Attributes:
        accepted: Requests that were accepted, shed or adopted from another process.
        fulfilled: Complete responses.
        throttled: Rejected or shed requests.
        faulted: All other outcomes: failed, truncated, past the deadline, or invalid for the host.
        client_disconnected: The client closed its connection before the response was complete.
    """

    accepted: int = 0
    fulfilled: int = 0
    throttled: int = 0
    faulted: int = 0
    client_disconnected: int = 0

    @property
    def open(self) -> int:
        """Number of requests that have not ended."""
        return self.accepted - self.fulfilled - self.throttled - self.faulted - self.client_disconnected


class RequestMetrics:
    """Counters of all classes.

    Attributes:
        classes: Counters by class index.
        requests_written: Attempts whose last byte was written, including prefills and hedged requests.
    """

    def __init__(self, class_count: int) -> None:
        """Creates counters that are all zero."""
        self.classes = [ClassMetrics() for _ in range(class_count)]
        self.requests_written = 0

    def request_accepted(self, class_index: int) -> None:
        """Counts a request that was accepted, shed or adopted."""
        self.classes[class_index].accepted += 1

    def request_finished(self, class_index: int, outcome: RequestOutcome) -> None:
        """Counts the end of a request; a migrated stream is counted only by the process that adopts it."""
        metrics = self.classes[class_index]
        match outcome:
            case RequestOutcome.MIGRATED:
                metrics.accepted -= 1
            case RequestOutcome.COMPLETED:
                metrics.fulfilled += 1
            case RequestOutcome.REJECTED | RequestOutcome.SHED:
                metrics.throttled += 1
            case RequestOutcome.CLIENT_DISCONNECTED:
                metrics.client_disconnected += 1
            case _:
                metrics.faulted += 1

    @property
    def open(self) -> int:
        """Number of requests of all classes that have not ended."""
        return sum(metrics.open for metrics in self.classes)
