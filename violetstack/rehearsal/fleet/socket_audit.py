"""Judges a run by what clients wrote and read, and what model hosts received and wrote.

Nothing here does I/O or reads a clock, and nothing comes from the dispatchers themselves. Times are seconds
of the run.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from violetstack.policy_api import ClassSettings, DeduplicationScope, Idempotency, Role, Settings
from violetstack.rehearsal.fleet.hold_audit import HoldEvidence, audit_holds

RULE_SLACK_S = 0.05
"""On every time limit of the protocol."""
LATE_ANSWER_GRACE_S = 0.5
"""An answer that comes later than this after its deadline is lost."""
DISCONNECT_GRACE_S = 0.1
"""An attempt may begin this long after its client has closed the connection."""
DEADLINE_SLACK_S = 0.15
"""An attempt's deadline may exceed what is left to the client by this much."""
LATE_STREAM_END_S = 1.0
"""The end of a stream is passed on within this time after the host's."""
SILENT_STREAM_S = 5.0
"""A client is not left waiting for longer after the host's last event."""
ACTIVE_STREAM_S = 1.0
"""A host that has written an event this recently is still streaming."""

REJECTION_STATUSES = frozenset({429, 503})


class Rule(Enum):
    """What a violation breaks."""

    UNANSWERED = "unanswered"
    CLOSED_UNANSWERED = "closed unanswered"
    LATE_ANSWER = "late answer"
    SECOND_ANSWER = "second answer"
    UNMATCHED_STREAM = "foreign stream"
    FALSE_COMPLETION = "false end"
    TRUNCATED = "truncated"
    LATE_END = "late end"
    SILENT_STREAM = "silent stream"
    INCOMPLETE_REQUEST = "incomplete request forwarded"
    UNKNOWN_REQUEST = "unknown request"
    AFTER_DISCONNECT = "forwarded after disconnect"
    AFTER_ANSWER = "forwarded after answer"
    LATE_DELIVERY = "rest delivered late"
    DEADLINE_TOO_LONG = "deadline exceeds what is left"
    REPEATED = "repeated"
    HEDGED = "hedged"
    TOO_MANY_ATTEMPTS = "too many attempts"
    UNSAFE_REJECTION = "unsafe rejection"
    AFTER_DRAIN = "forwarded after drain"
    HELD_TOO_LONG = "held too long"


@dataclass(frozen=True)
class Violation:
    """A broken rule, and the request that it was broken for."""

    rule: Rule
    request_id: str
    detail: str

    def __str__(self) -> str:
        return f"{self.rule.value}: {self.request_id}: {self.detail}"


@dataclass
class ClientExchange:
    """One request as its client saw it.

    Attributes:
        sent_at: When its last byte was written; None if it never was.
        deadline_s: What the client stated, counted from `sent_at`.
        first_byte_at: When the first byte of an answer's body came; of one without a body, its head.
        answered_at: When the last byte of the answer came.
        complete: Whether the answer ended by its own framing.
        trailing_bytes: Bytes that came behind the answer.
        server_closed_at: When the dispatcher ended the connection.
        client_closed_at: When the client closed, reset or half-closed the connection, or went away.
        waited_until: When the client stopped waiting.
        resent_at: When it was written once more, as its kept connection had ended under it.
        paused_until: When its dispatcher's process, which was stopped under it, went on.
        excused: Why no answer is owed; empty otherwise.
        reads_slowly: Its client takes an answer later than it comes.
        pipelined_after: The request on the same connection whose answer comes before this one's.
    """

    id: str
    class_index: int
    dispatcher: int
    deadline_s: float
    reused_connection: bool = False
    sent_at: float | None = None
    status: int = 0
    body: bytearray = field(default_factory=bytearray)
    first_byte_at: float | None = None
    answered_at: float | None = None
    complete: bool = False
    trailing_bytes: bytes = b""
    server_closed_at: float | None = None
    client_closed_at: float | None = None
    waited_until: float = math.inf
    resent_at: float | None = None
    paused_until: float = 0.0
    excused: str = ""
    reads_slowly: bool = False
    pipelined_after: ClientExchange | None = None

    @property
    def committed_at(self) -> float | None:
        """When its final answer was decided, as far as the client can tell."""
        return self.first_byte_at if self.status == 200 else self.answered_at

    @property
    def latest_answer_at(self) -> float:
        """From when on an answer comes too late to count."""
        if self.sent_at is None:
            return math.inf
        first_ended_at = 0.0
        if self.pipelined_after is not None:
            first_ended_at = (
                math.inf if self.pipelined_after.answered_at is None else self.pipelined_after.answered_at
            )
        return max(self.sent_at + self.deadline_s, self.paused_until, first_ended_at) + LATE_ANSWER_GRACE_S


@dataclass
class HostAttempt:
    """One attempt as its model host saw it; it began when its last byte came.

    Attributes:
        head_at: When its head came.
        stalled: The host did not read for a while, so it saw the end of the connection late as well.
        read_at: When the host had read it, if that may have been later than it arrived.
        received_deadline_s: Its `Req-Deadline`.
        closed_at: When its answer or its connection ended; None if it is out.
        declined: The host said that it has not run.
        events: The body of its stream, as far as it was written.
        stream_ended_at: When the last chunk was written.
        stream_faulty: The host broke off, stopped or spoilt its stream.
        last_event_at: When the last event was written.
    """

    request_id: str
    host: str
    role: Role
    zone: str
    cell: int
    arrived_at: float
    received_deadline_s: float | None = None
    head_at: float | None = None
    stalled: bool = False
    read_at: float | None = None
    closed_at: float | None = None
    declined: bool = False
    events: bytearray = field(default_factory=bytearray)
    stream_ended_at: float | None = None
    stream_faulty: bool = False
    last_event_at: float | None = None
    end_pending: bool = True
    """Its end has not been written down among what is held."""


@dataclass
class Evidence:
    """All that the sockets of one run showed.

    Attributes:
        exchanges: By request id.
        drains: When a drain of a host was written to a dispatcher, each time, by both.
        process_starts: When a dispatcher's processes were started, by its number.
        lag_s: How late the observers were at most: a limit is not exceeded by less.
        holds: What hosts held.
    """

    exchanges: dict[str, ClientExchange] = field(default_factory=dict)
    attempts: list[HostAttempt] = field(default_factory=list)
    drains: dict[tuple[int, str], list[float]] = field(default_factory=dict)
    process_starts: dict[int, list[float]] = field(default_factory=dict)
    lag_s: float = 0.0
    holds: HoldEvidence = field(default_factory=HoldEvidence)


def audit(settings: Settings, drain_grace_s: float, evidence: Evidence) -> list[Violation]:
    """Returns every violation; `drain_grace_s` is how long a host that drains still accepts attempts."""
    return SocketAuditor(settings, drain_grace_s, evidence).violations()


class SocketAuditor:
    """The checks of one run's evidence."""

    def __init__(self, settings: Settings, drain_grace_s: float, evidence: Evidence) -> None:
        self._settings = settings
        self._drain_grace_s = drain_grace_s
        self._evidence = evidence
        self._tolerance_s = RULE_SLACK_S + evidence.lag_s
        self._attempts: dict[str, list[HostAttempt]] = defaultdict(list)
        for attempt in sorted(evidence.attempts, key=lambda each: each.arrived_at):
            self._attempts[attempt.request_id].append(attempt)

    def violations(self) -> list[Violation]:
        found: list[Violation] = []
        for request_id, attempts in self._attempts.items():
            if request_id not in self._evidence.exchanges:
                found.append(Violation(Rule.UNKNOWN_REQUEST, request_id, f"came to {attempts[0].host}"))
        for exchange in self._evidence.exchanges.values():
            attempts = self._attempts.get(exchange.id, [])
            found += self._check_answer(exchange, attempts)
            found += self._check_stream(exchange, attempts)
            found += self._check_forwarding(exchange, attempts)
            found += self._check_repeats(exchange, attempts)
            found += self._check_rejection(exchange, attempts)
        return found + self._check_holds()

    def _check_holds(self) -> list[Violation]:
        evidence = self._evidence
        retention_s = self._settings.state_retention_ms / 1000.0
        held = audit_holds(evidence.holds, retention_s, evidence.lag_s)
        return [Violation(Rule.HELD_TOO_LONG, each.request_id, str(each)) for each in held]

    # --- the final answer ---

    def _check_answer(self, exchange: ClientExchange, attempts: list[HostAttempt]) -> Iterator[Violation]:
        if exchange.trailing_bytes:
            yield Violation(Rule.SECOND_ANSWER, exchange.id, repr(exchange.trailing_bytes[:60]))
        if exchange.sent_at is None or exchange.excused:
            return
        if exchange.resent_at is not None:
            read = [each for each in attempts if each.arrived_at <= exchange.resent_at]
            if read:
                yield Violation(Rule.CLOSED_UNANSWERED, exchange.id, "its kept connection, after it was read")
        if exchange.client_closed_at is not None:
            return
        due = exchange.latest_answer_at
        committed_at = exchange.committed_at
        if not exchange.status:
            yield self._missing_answer(exchange, due)
        elif committed_at is not None and committed_at > due + self._tolerance_s:
            late_s = committed_at - exchange.sent_at - exchange.deadline_s
            yield Violation(Rule.LATE_ANSWER, exchange.id, f"{late_s:.2f} s after its deadline")

    def _missing_answer(self, exchange: ClientExchange, due: float) -> Violation:
        assert exchange.sent_at is not None
        closed_at = exchange.server_closed_at
        if closed_at is not None and closed_at <= due:
            kind = "kept" if exchange.reused_connection else "new"
            detail = f"{kind} connection to {exchange.dispatcher}, {closed_at - exchange.sent_at:.3f} s later"
            return Violation(Rule.CLOSED_UNANSWERED, exchange.id, detail)
        waited_s = exchange.waited_until - exchange.sent_at
        detail = (
            f"dispatcher {exchange.dispatcher}, deadline {exchange.deadline_s:.2f} s, waited {waited_s:.2f} s"
        )
        return Violation(Rule.UNANSWERED, exchange.id, detail)

    # --- a stream ---

    def _check_stream(self, exchange: ClientExchange, attempts: list[HostAttempt]) -> Iterator[Violation]:
        if exchange.status != 200 or exchange.excused:
            return
        body = bytes(exchange.body)
        sources = [each for each in attempts if each.events and bytes(each.events).startswith(body)]
        if not sources:
            yield Violation(Rule.UNMATCHED_STREAM, exchange.id, repr(body[:120]))
            return
        source = max(sources, key=lambda each: (each.stream_ended_at is not None, len(each.events)))
        if exchange.complete:
            yield from self._check_complete_stream(exchange, sources)
        elif exchange.client_closed_at is None:
            yield from self._check_incomplete_stream(exchange, source)

    def _check_complete_stream(
        self, exchange: ClientExchange, sources: list[HostAttempt]
    ) -> Iterator[Violation]:
        ended = [
            each
            for each in sources
            if each.stream_ended_at is not None
            and not each.stream_faulty
            and bytes(each.events) == bytes(exchange.body)
        ]
        if not ended:
            yield Violation(Rule.FALSE_COMPLETION, exchange.id, f"{sources[0].host} had not ended it")
            return
        ended_at = ended[0].stream_ended_at
        assert ended_at is not None
        assert exchange.answered_at is not None
        ended_at = max(ended_at, exchange.paused_until)
        late_at = ended_at + LATE_STREAM_END_S + self._tolerance_s
        if exchange.answered_at > late_at and not exchange.reads_slowly:
            late_s = exchange.answered_at - ended_at
            yield Violation(Rule.LATE_END, exchange.id, f"{late_s:.2f} s after {ended[0].host}")

    def _check_incomplete_stream(self, exchange: ClientExchange, source: HostAttempt) -> Iterator[Violation]:
        end = exchange.server_closed_at
        last = source.last_event_at if source.last_event_at is not None else source.arrived_at
        last = max(last, exchange.paused_until)
        if source.stream_faulty:
            silent_until = end if end is not None else exchange.waited_until
            if silent_until > last + SILENT_STREAM_S + self._tolerance_s:
                waited_s = silent_until - last
                yield Violation(Rule.SILENT_STREAM, exchange.id, f"{waited_s:.2f} s after {source.host}")
        elif source.stream_ended_at is not None or (end is not None and end <= last + ACTIVE_STREAM_S):
            yield Violation(
                Rule.TRUNCATED,
                exchange.id,
                f"by dispatcher {exchange.dispatcher}, {len(exchange.body)} of {len(source.events)} bytes",
            )

    # --- what was forwarded ---

    def _check_forwarding(self, exchange: ClientExchange, attempts: list[HostAttempt]) -> Iterator[Violation]:
        if attempts and exchange.sent_at is None:
            yield Violation(Rule.INCOMPLETE_REQUEST, exchange.id, f"came to {attempts[0].host}")
            return
        for attempt in attempts:
            yield from self._check_one_attempt(exchange, attempt)
        if len(attempts) > self._settings.max_attempts:
            detail = f"{len(attempts)} of {self._settings.max_attempts}: {_host_names(attempts)}"
            yield Violation(Rule.TOO_MANY_ATTEMPTS, exchange.id, detail)

    def _check_one_attempt(self, exchange: ClientExchange, attempt: HostAttempt) -> Iterator[Violation]:
        at = attempt.arrived_at
        closed_at = exchange.client_closed_at
        grace_s = DISCONNECT_GRACE_S + self._evidence.lag_s
        if closed_at is not None and at > closed_at + grace_s:
            detail = f"{attempt.host} {at - closed_at:.3f} s after the client's end"
            yield Violation(
                _late_delivery_or(Rule.AFTER_DISCONNECT, attempt, closed_at + grace_s), exchange.id, detail
            )
        committed_at = exchange.committed_at
        if committed_at is not None and at > committed_at + self._tolerance_s:
            detail = f"{attempt.host} {at - committed_at:.3f} s after {exchange.status}"
            rule = _late_delivery_or(Rule.AFTER_ANSWER, attempt, committed_at + self._tolerance_s)
            yield Violation(rule, exchange.id, detail)
        assert exchange.sent_at is not None
        if attempt.received_deadline_s is not None:
            # A host that reads slowly makes what it was told late, not wrong.
            head_at = attempt.head_at if attempt.head_at is not None else at
            left_s = exchange.sent_at + exchange.deadline_s - head_at
            over_s = attempt.received_deadline_s - left_s
            if over_s > DEADLINE_SLACK_S + self._evidence.lag_s:
                detail = (
                    f"{attempt.host} was given {attempt.received_deadline_s:.3f} s, {left_s:.3f} s were left"
                )
                yield Violation(Rule.DEADLINE_TOO_LONG, exchange.id, detail)
        drained_at = self._drain_announced_at(exchange.dispatcher, attempt.host, at)
        if drained_at is not None and at > drained_at + self._drain_grace_s + self._tolerance_s:
            detail = f"{attempt.host} {at - drained_at:.3f} s after the drain was announced"
            yield Violation(Rule.AFTER_DRAIN, exchange.id, detail)

    def _drain_announced_at(self, dispatcher: int, host: str, at: float) -> float | None:
        """When the process that ran at this time was first told of the drain; None if it was not.

        A new process begins with the list of its configuration, which may be old.
        """
        starts = self._evidence.process_starts.get(dispatcher, [])
        started_at = max((start for start in starts if start <= at), default=-math.inf)
        times = self._evidence.drains.get((dispatcher, host), [])
        return min((time for time in times if time >= started_at), default=None)

    # --- repeats ---

    def _check_repeats(self, exchange: ClientExchange, attempts: list[HostAttempt]) -> Iterator[Violation]:
        if not self._settings.hedging_allowed:
            for earlier, later in _overlapping(attempts, self._tolerance_s):
                detail = f"{later.host} while {earlier.host} was out"
                yield Violation(Rule.HEDGED, exchange.id, detail)
        request_class = self._class_of(exchange)
        runs = _possible_runs(attempts)
        if request_class.idempotency is Idempotency.IDEMPOTENT or len(runs) < 2:
            return
        for run in runs[1:]:
            reason = self._repeat_forbidden_reason(request_class, runs[0], run)
            if reason:
                detail = f"{run.host} after {runs[0].host}: {reason}"
                yield Violation(Rule.REPEATED, exchange.id, detail)

    def _repeat_forbidden_reason(
        self, request_class: ClassSettings, first: HostAttempt, repeat: HostAttempt
    ) -> str:
        """Why the work may not be repeated there; empty if it may."""
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return "not idempotent"
        after_s = repeat.arrived_at - first.arrived_at
        if after_s > request_class.deduplication_window_ms / 1000.0 + self._tolerance_s:
            return f"{after_s:.3f} s later, beyond the window of {request_class.deduplication_window_ms:g} ms"
        if request_class.deduplication_scope is DeduplicationScope.ZONE and repeat.zone != first.zone:
            return f"in zone {repeat.zone}, not {first.zone}"
        if request_class.deduplication_scope is DeduplicationScope.CELL and repeat.cell != first.cell:
            return f"in cell {repeat.cell}, not {first.cell}"
        return ""

    def _check_rejection(self, exchange: ClientExchange, attempts: list[HostAttempt]) -> Iterator[Violation]:
        """A rejection says that a retry is harmless: what has run may be repeated anywhere."""
        if exchange.status not in REJECTION_STATUSES:
            return
        request_class = self._class_of(exchange)
        runs = _possible_runs(attempts)
        if not runs or request_class.idempotency is Idempotency.IDEMPOTENT:
            return
        anywhere = request_class.deduplication_scope is DeduplicationScope.ALL
        if request_class.idempotency is Idempotency.NON_IDEMPOTENT or not anywhere:
            yield Violation(
                Rule.UNSAFE_REJECTION, exchange.id, f"{exchange.status} after {_host_names(runs)}"
            )

    def _class_of(self, exchange: ClientExchange) -> ClassSettings:
        return self._settings.classes[exchange.class_index]


def _possible_runs(attempts: Iterable[HostAttempt]) -> list[HostAttempt]:
    """Those that may have had an effect: a prefill has none, and what was declined has not run."""
    return [each for each in attempts if each.role is not Role.PREFILL and not each.declined]


def _late_delivery_or(rule: Rule, attempt: HostAttempt, limit: float) -> Rule:
    """The rule, or LATE_DELIVERY if the attempt was begun in time and only its rest came late."""
    return Rule.LATE_DELIVERY if attempt.head_at is not None and attempt.head_at <= limit else rule


def _overlapping(
    attempts: list[HostAttempt], tolerance_s: float
) -> Iterator[tuple[HostAttempt, HostAttempt]]:
    for n, earlier in enumerate(attempts):
        if earlier.stalled:
            continue
        for later in attempts[n + 1 :]:
            began_at = later.arrived_at if later.read_at is None else later.read_at
            if earlier.closed_at is None or earlier.closed_at > began_at + tolerance_s:
                yield earlier, later


def _host_names(attempts: Iterable[HostAttempt]) -> str:
    return ", ".join(each.host for each in attempts)
