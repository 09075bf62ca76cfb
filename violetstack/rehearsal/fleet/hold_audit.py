"""Judges by model hosts' own records whether what they held for requests was taken over or released in time.

Nothing here does I/O or reads a clock, and nothing comes from the dispatchers themselves. Times are seconds.
An attempt counts as in flight from the moment at which its host begins it: bytes that came to a host which is
frozen are not out, and stop no clock.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

RULE_SLACK_S = 0.35
"""On the retention time: 50 ms as on every limit, and 300 ms as what is held has."""


class HostRecord(Enum):
    """What a model host wrote down of one request."""

    SLOT_RESERVED = "slot reserved"
    ATTEMPT_BEGUN = "attempt begun"
    ATTEMPT_ENDED = "attempt ended"
    STATE_LEFT = "state left"
    TAKEN_OVER = "taken over"
    """A stream has started: nothing is held any more."""
    RELEASE_TAKEN = "release taken"


@dataclass(frozen=True)
class HostEvent:
    """One record, of a host that runs."""

    at: float
    record: HostRecord
    request_id: str
    host: str


@dataclass(frozen=True)
class HeldTooLong:
    """Something was held for a request, and nothing took it over, for longer than the rule allows."""

    request_id: str
    since: float
    until: float
    held: tuple[str, ...]

    def __str__(self) -> str:
        what = ", ".join(self.held)
        return f"{self.request_id}: {what}: {self.until - self.since:.3f} s from {self.since:.3f} s"


@dataclass
class HoldEvidence:
    """The records of all hosts.

    Attributes:
        events: In the order in which they were written down.
        excused_until: By request: its dispatcher did not run until then, or ended and left it to the hosts.
        ended_at: When the records end.
        prefills_in_flight: By request: prefills that a host has begun and not ended.
    """

    events: list[HostEvent] = field(default_factory=list)
    excused_until: dict[str, float] = field(default_factory=dict)
    ended_at: float = 0.0
    prefills_in_flight: Counter[str] = field(default_factory=Counter)

    def excuse(self, request_ids: Iterable[str], until: float) -> None:
        """Nothing of these requests counts as held before `until`."""
        for request_id in request_ids:
            self.excused_until[request_id] = max(until, self.excused_until.get(request_id, until))

    def record(self, at: float, record: HostRecord, request_id: str, host: str) -> None:
        """Adds one record."""
        self.events.append(HostEvent(at, record, request_id, host))


class _RequestHolds:
    """What is held for one request, followed through its records."""

    def __init__(self, request_id: str, limit_s: float, excused_until: float) -> None:
        self._id = request_id
        self._limit_s = limit_s
        self._excused_until = excused_until
        self._held: dict[str, None] = {}
        self._in_flight = 0
        self._since = 0.0

    def apply(self, event: HostEvent) -> Iterator[HeldTooLong]:
        """Follows one record; yields what was held for too long before it."""
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

    def _hold(self, at: float, what: str) -> None:
        self._held[what] = None
        self._since = at

    def check(self, now: float) -> Iterator[HeldTooLong]:
        """Yields what has been held for too long by `now`, once."""
        since = max(self._since, self._excused_until)
        if self._held and not self._in_flight and now - since > self._limit_s:
            yield HeldTooLong(self._id, since, now, tuple(self._held))
            self._held.clear()


def audit_holds(evidence: HoldEvidence, retention_s: float, lag_s: float = 0.0) -> list[HeldTooLong]:
    """Returns what was held too long up to the end of the records; `lag_s`: how late they are."""
    if not retention_s:
        return []
    by_request: dict[str, list[HostEvent]] = defaultdict(list)
    for event in sorted(evidence.events, key=lambda each: each.at):
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
