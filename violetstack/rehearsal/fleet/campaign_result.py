"""What one case came to: violations with the course of their requests, and the pairs of faults that met."""

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
    """One violation, with what is known of its request."""

    rule: str
    text: str
    timeline: list[str]
    log: list[dict[str, Any]]


class CaseResult(msgspec.Struct):
    """What one case came to.

    `lag_s` is how late the observers were, `starved_s` how long the mean dispatcher waited for a processor
    within one second: the case is void beyond MAX_LAG_S or MAX_STARVED_S. `invariants` counts the violations
    that the dispatchers' own checks have logged, by rule, `invariant_lines` are the first of these lines;
    `triples` are faults of the environment that
    overlapped.
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
        return self.lag_s > MAX_LAG_S or self.starved_s > MAX_STARVED_S


def _violated_invariant(line: dict[str, Any]) -> str:
    """Which of its own checks a dispatcher's log line says was broken; empty if none was."""
    if line.get("event") == "invariant_violated":
        return str(line["rule"])
    if line.get("event") == "client_connection_violation":
        return str(line["violation"])
    return ""


class CaseReport:
    """Judges a case that has ended."""

    def __init__(self, state: CaseState) -> None:
        self._state = state

    def result(self, events: Sequence[EnvironmentEvent | SoakEvent]) -> CaseResult:
        logs = [dispatcher.program.events() for dispatcher in self._state.dispatchers]
        for dispatcher in self._state.dispatchers:
            dispatcher.program.log.close()
        for agent in self._state.all_agents:
            for host, times in agent.written_drains.items():
                self._state.evidence.drains.setdefault((agent.number, host), []).extend(times)
        found = audit(
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
            environment=[f"{each.at:.2f} {each.fault.value} {each.target}" for each in events],
            requests=len(self._state.evidence.exchanges),
            attempts=len(self._state.evidence.attempts),
            statuses=dict(self._state.statuses),
            violations=[self._violation_report(each, logs) for each in found],
            crashed=self._state.crashed,
            lag_s=round(self._state.lag_s, 3),
            starved_s=round(self._state.starved_s, 3),
            pairs=sorted(self._pairs()),
            triples=sorted(self._triples()),
            invariants=dict(Counter(_violated_invariant(line) for line in invariant_lines)),
            invariant_lines=invariant_lines[:SHOWN_LOG_LINES],
            events=dict(counted),
        )

    def _is_excused(self, line: dict[str, Any]) -> bool:
        """Whether a dispatcher tells of a hold that it could not release: the auditor judges the rest."""
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
                f"sent to {exchange.dispatcher}, {name}, deadline {exchange.deadline_s}": exchange.sent_at,
                "client ended": exchange.client_closed_at,
                f"first byte of {exchange.status}": exchange.first_byte_at,
                f"end of {exchange.status}": exchange.answered_at,
                "dispatcher closed": exchange.server_closed_at,
                "resent": exchange.resent_at,
            }
            rows += [(at, text) for text, at in moments.items() if at is not None]
        for attempt in self._state.evidence.attempts:
            if attempt.request_id == request_id:
                told = f"told {attempt.received_deadline_s}, declined {attempt.declined}"
                rows.append((attempt.arrived_at, f"came to {attempt.host}, {told}"))
                if attempt.closed_at is not None:
                    rows.append((attempt.closed_at, f"over at {attempt.host}"))
        rows += [
            (began_at, f"{fault.value} {target} until {end:.3f}")
            for fault, target, began_at, end in self._state.fault_spans
        ]
        shown = [f"{at:.3f} {text}" for at, text in sorted(rows)]
        if script is not None:
            faults = ", ".join(fault.value for fault in script.host_faults)
            shown.append(f"script: {script.client_disconnect}, {script.behaviour.value}, hosts: {faults}")
        return shown

    def _pairs(self) -> set[tuple[str, str]]:
        """Pairs of faults that took place for one request, or while it was open."""
        found: set[tuple[str, str]] = set()
        for request_id, exchange in self._state.evidence.exchanges.items():
            script = self._state.scripts[request_id]
            own = sorted(script.occurred_faults)
            if script.behaviour is not ClientBehaviour.PLAIN and exchange.sent_at is not None:
                own.append(f"client {script.behaviour.value}")
            found.update((min(pair), max(pair)) for pair in combinations(own, 2))
            around = [
                fault.value
                for fault, _, began_at, end in self._state.fault_spans
                if self._overlaps(exchange, began_at, end)
            ]
            found.update((min(pair), max(pair)) for pair in product(own, around))
        for one, other in combinations(self._state.fault_spans, 2):
            if one[2] <= other[3] and other[2] <= one[3]:
                found.add((min(one[0].value, other[0].value), max(one[0].value, other[0].value)))
        return found

    def _triples(self) -> set[tuple[str, str, str]]:
        """Faults of the environment, three of which were in force at the same time."""
        found = set()
        for spans in combinations(self._state.fault_spans, 3):
            if max(span.began_at for span in spans) <= min(span.ended_at for span in spans):
                first, second, third = sorted(span.fault.value for span in spans)
                found.add((first, second, third))
        return found

    @staticmethod
    def _overlaps(exchange: ClientExchange, began_at: float, end: float) -> bool:
        if exchange.sent_at is None:
            return False
        ends = (exchange.answered_at, exchange.server_closed_at, exchange.client_closed_at)
        until = min((at for at in ends if at is not None), default=exchange.waited_until)
        return exchange.sent_at <= end and began_at <= until
