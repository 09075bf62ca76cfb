"""The result of one case: violations with the timelines of their requests, and coinciding faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from itertools import combinations, product
from typing import Any

import msgspec

from violetstack.rehearsal.fleet.campaign_faults import ClientBehaviour, EnvironmentEvent
from violetstack.rehearsal.fleet.campaign_state import CaseState
from violetstack.rehearsal.fleet.soak_faults import SoakEvent
from violetstack.rehearsal.fleet.socket_audit import ClientExchange, Violation, audit

MAX_LAG_S = 0.25
MAX_STARVED_S = 0.5
SHOWN_LOG_LINES = 12
INVARIANT_HELD = "held"


class ViolationReport(msgspec.Struct):
    """One violation, with the timeline of its request and the dispatchers' log lines about it."""

    rule: str
    text: str
    timeline: list[str]
    log: list[dict[str, Any]]


class CaseResult(msgspec.Struct):
    """The result of one case.

    Attributes:
        lag_s: The longest delay of the process that simulates clients and hosts; the case is void if it
            exceeds MAX_LAG_S.
        starved_s: How long a dispatcher waited for a processor within one second, on average over the
            dispatchers; the case is void if it exceeds MAX_STARVED_S.
        pairs: Pairs of faults that affected the same request or overlapped in time.
        triples: Triples of environment faults that overlapped in time.
        invariants: The number of violations that the dispatchers' own checks logged, by rule.
        invariant_lines: The first log lines of these violations.
        events: The number of the dispatchers' log lines, by event.
    """

    seed: int
    deployment: str
    environment: list[str]
    requests: int
    attempts: int
    statuses: dict[str, int]
    violations: list[ViolationReport]
    crashed: list[str]
    lag_s: float
    starved_s: float
    pairs: list[tuple[str, str]]
    triples: list[tuple[str, str, str]]
    invariants: dict[str, int]
    invariant_lines: list[dict[str, Any]]
    events: dict[str, int]

    @property
    def void(self) -> bool:
        """Whether the machine was too slow for a verdict."""
        return self.lag_s > MAX_LAG_S or self.starved_s > MAX_STARVED_S


def _violated_invariant(line: dict[str, Any]) -> str:
    """Returns the dispatcher's own rule that the log line reports as violated, or an empty text."""
    if line.get("event") == "invariant_violated":
        return str(line["rule"])
    if line.get("event") == "client_connection_violation":
        return str(line["violation"])
    return ""


class CaseReport:
    """Audits a case that has ended and builds its result."""

    def __init__(self, state: CaseState) -> None:
        self._state = state

    def result(self, events: Sequence[EnvironmentEvent | SoakEvent]) -> CaseResult:
        logs = [dispatcher.program.events() for dispatcher in self._state.dispatchers]
        for dispatcher in self._state.dispatchers:
            dispatcher.program.log.close()
        for agent in self._state.all_agents:
            for host, times in agent.written_drains.items():
                self._state.evidence.drains.setdefault((agent.number, host), []).extend(times)
        violations = audit(
            self._state.deployment.settings, self._state.deployment.drain_grace_s, self._state.evidence
        )
        invariant_lines = [
            {"dispatcher": n, **line}
            for n, log in enumerate(logs)
            for line in log
            if _violated_invariant(line) and not self._is_excused(line)
        ]
        counted: Counter[str] = Counter(str(line.get("event")) for log in logs for line in log)
        return CaseResult(
            seed=self._state.seed,
            deployment=self._state.deployment.describe(),
            environment=[f"{event.at:.2f} {event.fault.value} {event.target}" for event in events],
            requests=len(self._state.evidence.exchanges),
            attempts=len(self._state.evidence.attempts),
            statuses=dict(self._state.statuses),
            violations=[self._violation_report(violation, logs) for violation in violations],
            crashed=self._state.crashed,
            lag_s=round(self._state.delays.lag_s, 3),
            starved_s=round(self._state.delays.starved_s, 3),
            pairs=sorted(self._pairs()),
            triples=sorted(self._triples()),
            invariants=dict(Counter(_violated_invariant(line) for line in invariant_lines)),
            invariant_lines=invariant_lines[:SHOWN_LOG_LINES],
            events=dict(counted),
        )

    def _is_excused(self, line: dict[str, Any]) -> bool:
        """Returns whether the line is about a hold that the dispatcher was unable to release.

        The audit judges whether it was held for too long after the excused time.
        """
        return line.get("rule") == INVARIANT_HELD and line["id"] in self._state.evidence.holds.excused_until

    def _violation_report(self, violation: Violation, logs: list[list[dict[str, Any]]]) -> ViolationReport:
        request_id = violation.request_id
        lines = [
            {"dispatcher": n, **line}
            for n, log in enumerate(logs)
            for line in log
            if line.get("id") == request_id
        ]
        return ViolationReport(
            violation.rule.value, str(violation), self._timeline(request_id), lines[:SHOWN_LOG_LINES]
        )

    def _timeline(self, request_id: str) -> list[str]:
        rows: list[tuple[float, str]] = []
        exchange = self._state.evidence.exchanges.get(request_id)
        script = self._state.scripts.get(request_id)
        if exchange is not None:
            name = self._state.deployment.class_names[exchange.class_index]
            moments = {
                f"sent to {exchange.dispatcher}, {name}, deadline {exchange.deadline_s} s": exchange.sent_at,
                "client disconnected": exchange.client_closed_at,
                f"first byte of {exchange.status}": exchange.first_byte_at,
                f"end of {exchange.status}": exchange.answered_at,
                "dispatcher closed": exchange.server_closed_at,
                "sent again": exchange.resent_at,
            }
            rows += [(at, text) for text, at in moments.items() if at is not None]
        for attempt in self._state.evidence.attempts:
            if attempt.request_id == request_id:
                details = f"Req-Deadline {attempt.received_deadline_s} s, declined {attempt.declined}"
                rows.append((attempt.arrived_at, f"attempt arrived at {attempt.host}, {details}"))
                if attempt.closed_at is not None:
                    rows.append((attempt.closed_at, f"attempt ended at {attempt.host}"))
        rows += [
            (began_at, f"{fault.value} {target} until {ended_at:.3f}")
            for fault, target, began_at, ended_at in self._state.fault_spans
        ]
        shown = [f"{at:.3f} {text}" for at, text in sorted(rows)]
        if script is not None:
            faults = ", ".join(fault.value for fault in script.host_faults)
            shown.append(f"script: {script.client_disconnect}, {script.behaviour.value}, hosts: {faults}")
        return shown

    def _pairs(self) -> set[tuple[str, str]]:
        """Returns pairs of faults of one request, of a request and its environment, or of the environment."""
        found: set[tuple[str, str]] = set()
        for request_id, exchange in self._state.evidence.exchanges.items():
            script = self._state.scripts[request_id]
            own_faults = sorted(script.occurred_faults)
            if script.behaviour is not ClientBehaviour.PLAIN and exchange.sent_at is not None:
                own_faults.append(f"client {script.behaviour.value}")
            found.update((min(pair), max(pair)) for pair in combinations(own_faults, 2))
            environment_faults = [
                fault.value
                for fault, _, began_at, ended_at in self._state.fault_spans
                if self._overlaps(exchange, began_at, ended_at)
            ]
            found.update((min(pair), max(pair)) for pair in product(own_faults, environment_faults))
        for first, second in combinations(self._state.fault_spans, 2):
            if first[2] <= second[3] and second[2] <= first[3]:
                found.add((min(first[0].value, second[0].value), max(first[0].value, second[0].value)))
        return found

    def _triples(self) -> set[tuple[str, str, str]]:
        """Returns the triples of environment faults that were in force at the same time."""
        found = set()
        for spans in combinations(self._state.fault_spans, 3):
            if max(span.began_at for span in spans) <= min(span.ended_at for span in spans):
                first, second, third = sorted(span.fault.value for span in spans)
                found.add((first, second, third))
        return found

    @staticmethod
    def _overlaps(exchange: ClientExchange, began_at: float, ended_at: float) -> bool:
        """Returns whether the request was open between the two times."""
        if exchange.sent_at is None:
            return False
        ends = (exchange.answered_at, exchange.server_closed_at, exchange.client_closed_at)
        until = min((at for at in ends if at is not None), default=exchange.waited_until)
        return exchange.sent_at <= ended_at and began_at <= until
