"""Audits a fleet run by what its clients and hosts saw: rules that were violated, and the time to recover.

Nothing here does I/O or reads a clock. Times are seconds of the run.
"""

from __future__ import annotations

from collections import Counter, deque
from dataclasses import dataclass, field
from statistics import median

TOLERANCE_S = 0.05  # the protocol allows it on every time limit
LATE_ANSWER_S = 0.5  # an answer after its deadline has no value; one later than this counts as lost
BUCKET_S = 0.5
RECOVERED_FOR_S = 1.0  # service has recovered once it has been full for this long
MIN_SERVED_SHARE = 0.98  # of the first tries
MAX_FIRST_TOKEN_RATIO = 1.5  # to the median before the first fault


@dataclass(slots=True)
class ClientRequest:
    """One request as its client saw it.

    Attributes:
        is_order: Whether it must not run twice.
        first_try: Whether it is no retry.
        outcome: How it ended; empty while it has not.
        first_token_at: When the first bytes of a stream arrived; None if none did.
        excused: Whether its dispatcher was killed or stopped meanwhile, so that any outcome is permitted.
    """

    id: str
    dispatcher: int
    is_order: bool
    first_try: bool
    sent_at: float
    deadline: float
    outcome: str = ""
    first_token_at: float | None = None
    ended_at: float | None = None
    excused: bool = False


@dataclass
class HeldState:
    """The state that hosts hold for one request."""

    hosts: set[str]
    changed_at: float  # the last attempt's end, or the last hold


@dataclass
class LeaseTenure:
    """A dispatcher that acted under a lease, its fencing token, and the times of its first and last act."""

    lease_id: int
    dispatcher: int
    fencing_token: int
    first: float
    last: float


@dataclass
class Audit:
    """Records what clients and hosts saw, and checks it against the rules.

    Attributes:
        drain_grace_s: For how long requests may still be sent to a host after its drain was announced.
        release_s: For how long a host may hold state that no attempt uses.
        overload_window_s: The window over which the load of a cold host is summed.
        overload_ratio: The load, as a multiple of its capacity in that window, at which a cold host crashes.
        violations: The rules that were violated, with the evidence.
        requests: All requests, by id.
        drains_written: When the drain of a host was written to a dispatcher, by its number and the host's id.
        runs: How often an answer was begun, by request id.
        held: Held state, by request id.
        open_attempts: Attempts of a request that are at hosts now, by request id.
        failures: Error responses of failing hosts, by host.
        broken_links: The dispatchers whose path to all hosts is broken now.
        stale_sends: Requests sent to a draining host after the grace period.
        tenures: The holders of leases, one after the other.
        lag: How late the simulated hosts and clients were at most; every limit is extended by it.
    """

    drain_grace_s: float
    release_s: float
    overload_window_s: float
    overload_ratio: float
    violations: list[str] = field(default_factory=list)
    requests: dict[str, ClientRequest] = field(default_factory=dict)
    drains_written: dict[tuple[int, str], float] = field(default_factory=dict)
    runs: dict[str, int] = field(default_factory=dict)
    held: dict[str, HeldState] = field(default_factory=dict)
    open_attempts: Counter[str] = field(default_factory=Counter)
    failures: Counter[str] = field(default_factory=Counter)
    broken_links: set[int] = field(default_factory=set)
    stale_sends: int = 0
    tenures: list[LeaseTenure] = field(default_factory=list)
    lag: float = 0.0
    _work: dict[str, deque[tuple[float, float]]] = field(default_factory=dict)

    def lease_broadcast(self, now: float, dispatcher: int, lease_id: int, token: int) -> None:
        """Checks a broadcast under a lease: fencing tokens never go down, and each has one holder."""
        last = next((tenure for tenure in reversed(self.tenures) if tenure.lease_id == lease_id), None)
        if last is None or token > last.fencing_token:
            self.tenures.append(LeaseTenure(lease_id, dispatcher, token, now, now))
        elif token == last.fencing_token and dispatcher == last.dispatcher:
            last.last = now
        else:
            self._violation(
                "lease",
                f"{dispatcher} acted with token {token} after {last.dispatcher} with {last.fencing_token}",
            )

    def holder(self) -> int | None:
        """Returns the dispatcher that acted last under any lease."""
        return max(self.tenures, key=lambda tenure: tenure.last).dispatcher if self.tenures else None

    def _violation(self, rule: str, text: str) -> None:
        self.violations.append(f"{rule}: {text}")

    # --- at hosts ---

    def request_received(
        self, now: float, host: str, request_id: str, work: float, capacity: float | None
    ) -> bool:
        """Record a completely received request; return False if it overloads the host, which then crashes.

        `work` is the processing time that it takes, `capacity` the work a second that a cold host can do;
        None if the host is warm.
        """
        request = self.requests.get(request_id)
        written = self.drains_written.get((request.dispatcher, host)) if request is not None else None
        if written is not None and now - written > self.drain_grace_s + TOLERANCE_S + self.lag:
            self.stale_sends += 1
            self._violation(
                "drain",
                f"{host} received {request_id} {now - written:.2f} s after the dispatcher got its drain",
            )
        self.open_attempts[request_id] += 1
        if capacity is None:
            return True
        window = self._work.setdefault(host, deque())
        window.append((now, work))
        while window[0][0] <= now - self.overload_window_s:
            window.popleft()
        limit = self.overload_ratio * capacity * self.overload_window_s
        if sum(received for _, received in window) <= limit + 2 * work:  # allows for random bursts
            return True
        self._violation(
            "cold", f"{host} crashed: overloaded by {len(window)} requests in {self.overload_window_s} s"
        )
        return False

    def answer_begun(self, host: str, request_id: str) -> None:
        """Record that a decode host began an answer."""
        self.runs[request_id] = self.runs.get(request_id, 0) + 1
        if self.runs[request_id] > 1 and request_id in self.requests and self.requests[request_id].is_order:
            self._violation("order", f"{request_id} ran again at {host}")

    def state_held(self, now: float, host: str, request_id: str) -> None:
        """Record that a host holds state for a request from now on."""
        held = self.held.setdefault(request_id, HeldState(set(), now))
        held.hosts.add(host)
        held.changed_at = now

    def attempt_ended(self, now: float, request_id: str) -> None:
        """Record that an attempt of a request ended at its host."""
        self.open_attempts[request_id] -= 1
        if (held := self.held.get(request_id)) is not None:
            held.changed_at = now

    def state_released(self, now: float, request_id: str) -> None:
        """Record that the state of a request was released."""
        held = self.held.pop(request_id, None)
        if held is not None:
            self._check_retention(now, request_id, held)

    def _check_retention(self, now: float, request_id: str, held: HeldState) -> None:
        request = self.requests.get(request_id)
        excess_s = now - held.changed_at - self.release_s - 0.3 - TOLERANCE_S - self.lag
        if (
            not self.open_attempts[request_id]
            and excess_s > 0
            and request is not None
            and not request.excused
        ):
            state = f"state of {request_id} of dispatcher {request.dispatcher} at {sorted(held.hosts)}"
            self._violation("held", f"{state} for {now - held.changed_at:.2f} s")

    # --- the end ---

    def excuse(self, dispatchers: set[int], now: float) -> None:
        """Excuse the open requests of dispatchers that were killed or stopped now."""
        for request in self.requests.values():
            if request.dispatcher in dispatchers and (
                request.ended_at is None or request.ended_at > now - 0.05
            ):
                request.excused = True

    def finish(self, now: float) -> None:
        """Check, at the end of the run, that every request was answered in time and all state released."""
        for request in self.requests.values():
            answered_at = (
                request.first_token_at if request.first_token_at is not None else request.ended_at
            ) or now
            excess_s = answered_at - request.deadline - LATE_ANSWER_S - self.lag
            if not request.excused and (request.outcome in ("", "lost") or excess_s > 0):
                self._violation(
                    "answer",
                    f"{request.id} {request.outcome or 'none'} at dispatcher {request.dispatcher}",
                )
        for request_id, held in self.held.items():
            self._check_retention(now, request_id, held)


@dataclass(slots=True)
class TimelineRow:
    """Half a second of a run; requests count where their first try was sent. The names are the report's."""

    at: float
    asked: int = 0
    served: int = 0
    refused: int = 0
    lost: int = 0  # failed, cut, not sent, or never answered
    first_ms: float | None = None
    most_inside: int = 0
    calls: int = 0


def timeline(
    requests: list[ClientRequest], in_flight: list[tuple[float, int]], calls: list[float], until: float
) -> list[TimelineRow]:
    """Return the rows up to a time.

    `in_flight` has the most requests at one prefill host by time, `calls` the times of calls to discovery.
    """
    rows = [TimelineRow(n * BUCKET_S) for n in range(int(until / BUCKET_S))]
    first_tokens_ms: dict[int, list[float]] = {}
    for request in requests:
        n = int(request.sent_at / BUCKET_S)
        if not request.first_try or not 0 <= n < len(rows):
            continue
        rows[n].asked += 1
        rows[n].served += request.outcome == "served"
        rows[n].refused += request.outcome == "refused"
        rows[n].lost += request.outcome not in ("served", "refused")
        if request.first_token_at is not None:
            first_tokens_ms.setdefault(n, []).append((request.first_token_at - request.sent_at) * 1000.0)
    for n, row in enumerate(rows):
        row.first_ms = round(median(first_tokens_ms[n]), 1) if n in first_tokens_ms else None
        row.most_inside = max((number for at, number in in_flight if int(at / BUCKET_S) == n), default=0)
        row.calls = sum(1 for at in calls if int(at / BUCKET_S) == n)
    return rows


def recovery_time_s(
    rows: list[TimelineRow], warm_at: float, first_fault_at: float, faults_end_at: float
) -> float | None:
    """Return the time from the end of the last fault to full service; None if that is never reached.

    Service is full when for a second 98% of first tries are served, and the median time to the first token
    is at most 1.5 times that between `warm_at` and the first fault.
    """
    before = [row.first_ms for row in rows if warm_at <= row.at < first_fault_at and row.first_ms is not None]
    if not before:
        return None
    usual_ms = median(before)
    needed_rows = int(RECOVERED_FOR_S / BUCKET_S)

    def is_full(row: TimelineRow) -> bool:
        if not row.asked or row.first_ms is None:
            return False
        return row.served >= MIN_SERVED_SHARE * row.asked and row.first_ms <= MAX_FIRST_TOKEN_RATIO * usual_ms

    first = int(faults_end_at / BUCKET_S)
    for n in range(first, len(rows) - needed_rows + 1):
        if all(is_full(row) for row in rows[n : n + needed_rows]):
            return max(0.0, rows[n].at - faults_end_at)
    return None
