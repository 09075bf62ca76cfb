"""Audits by model hosts' own records whether their holds were taken over or released in time.

The audit does no I/O, reads no clock, and uses no data from the dispatchers themselves. Times are in seconds.
An attempt counts as in flight from the moment at which its host begins it: an attempt that has only arrived
at a frozen host is not in flight, so the retention time keeps running.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

RULE_SLACK_S = 0.35
"""The tolerance on the retention time: 50 ms as on every limit, and another 300 ms for holds."""


class HostRecord(Enum):
    """What a model host records about a request."""

    SLOT_RESERVED = "slot reserved"
    ATTEMPT_BEGUN = "attempt begun"
    ATTEMPT_ENDED = "attempt ended"
    STATE_LEFT = "state left"
    TAKEN_OVER = "taken over"
    """A stream has started, so nothing is held any more."""
    RELEASE_TAKEN = "release taken"


@dataclass(frozen=True)
class HostEvent:
    """One record of a host that is running."""

    at: float
    record: HostRecord
    request_id: str
    host: str


@dataclass(frozen=True)
class HeldTooLong:
    """A hold that was neither taken over nor released within the allowed time."""

    request_id: str
    since: float
    until: float
    held: tuple[str, ...]

    def __str__(self) -> str:
        holds = ", ".join(self.held)
        return f"{self.request_id}: {holds}: held {self.until - self.since:.3f} s from {self.since:.3f} s"


@dataclass
class HoldEvidence:
    """The records of all hosts.

    Attributes:
        events: In the order in which they were recorded.
        excused_until: By request id, the time before which its holds do not count, because its dispatcher was
            not running, or had ended and left them to the hosts.
        ended_at: The end of the records.
        prefills_in_flight: By request id, the number of prefills that hosts have begun and not ended.
        close_checks: By request id, for each attempt in flight, a function that records its end if the
            dispatcher has closed its connection.
    """

    events: list[HostEvent] = field(default_factory=list)
    excused_until: dict[str, float] = field(default_factory=dict)
    ended_at: float = 0.0
    prefills_in_flight: Counter[str] = field(default_factory=Counter)
    close_checks: dict[str, dict[int, Callable[[], None]]] = field(default_factory=dict)

    def excuse(self, request_ids: Iterable[str], until: float) -> None:
        """Lets no hold of these requests count before `until`."""
        for request_id in request_ids:
            self.excused_until[request_id] = max(until, self.excused_until.get(request_id, until))

    def record(self, at: float, record: HostRecord, request_id: str, host: str) -> None:
        """Adds one record."""
        self.events.append(HostEvent(at, record, request_id, host))


class _RequestHolds:
    """The holds of one request, as they follow from its records."""

    def __init__(self, request_id: str, limit_s: float, excused_until: float) -> None:
        self._id = request_id
        self._limit_s = limit_s
        self._excused_until = excused_until
        self._held: dict[str, None] = {}
        self._in_flight = 0
        self._since = 0.0

    def apply(self, event: HostEvent) -> Iterator[HeldTooLong]:
        """Applies one record; yields the holds that had lasted too long before it."""
        yield from self.check(event.at)
        match event.record:
            case HostRecord.SLOT_RESERVED:
                self._hold(event.at, f"slot at {event.host}")
            case HostRecord.STATE_LEFT:
                self._hold(event.at, f"state at {event.host}")
            case HostRecord.ATTEMPT_BEGUN:
                self._in_flight += 1
            case HostRecord.ATTEMPT_ENDED:
                self._in_flight -= 1
                self._since = event.at
            case HostRecord.TAKEN_OVER:
                self._held.clear()
            case HostRecord.RELEASE_TAKEN:
                if not self._in_flight:
                    self._held.clear()

    def _hold(self, at: float, hold: str) -> None:
        self._held[hold] = None
        self._since = at

    def check(self, now: float) -> Iterator[HeldTooLong]:
        """Yields the holds that have lasted too long by `now`, once."""
        since = max(self._since, self._excused_until)
        if self._held and not self._in_flight and now - since > self._limit_s:
            yield HeldTooLong(self._id, since, now, tuple(self._held))
            self._held.clear()


def audit_holds(evidence: HoldEvidence, retention_s: float, lag_s: float = 0.0) -> list[HeldTooLong]:
    """Returns the holds that lasted too long by the end of the records, which are up to `lag_s` late."""
    if not retention_s:
        return []
    by_request: dict[str, list[HostEvent]] = defaultdict(list)
    for event in sorted(evidence.events, key=lambda record: record.at):
        by_request[event.request_id].append(event)
    limit_s = retention_s + RULE_SLACK_S + lag_s
    found: list[HeldTooLong] = []
    for request_id, events in by_request.items():
        excused_until = evidence.excused_until.get(request_id, -math.inf)
        found += _audit_request(_RequestHolds(request_id, limit_s, excused_until), events, evidence.ended_at)
    return found


def _audit_request(
    request: _RequestHolds, events: Iterable[HostEvent], ended_at: float
) -> Iterator[HeldTooLong]:
    for event in events:
        yield from request.apply(event)
    yield from request.check(ended_at)
