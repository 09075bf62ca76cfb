"""Summarizes a fleet run that has ended."""

from __future__ import annotations

import math
from collections import Counter
from statistics import median
from typing import Any

import msgspec

from violetstack.rehearsal.fleet.audit import TimelineRow, recovery_time_s, timeline
from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.report import LeaseHolder, Result

VOID_LAG_S = 0.25
"""If the simulated hosts and clients were later than this, the run measured their delay."""
FAULT_EVENTS = frozenset(
    {
        "upstream_response_truncated",
        "policy_failed",
        "action_failed",
        "attempt_failed",
        "request_overdue",
        "gossip_datagram_rejected",
    }
)
MAX_SHOWN_EVENTS = 20


class LogSummary:
    """Log lines of all dispatchers: counts by event, first lines of faults, begin and end of shutdowns."""

    def __init__(self) -> None:
        self.events: Counter[str] = Counter()
        self.faults: list[str] = []
        self.shutdowns: list[tuple[float, float, int]] = []

    def add(self, dispatcher: int, line: dict[str, Any]) -> None:
        """Add a line; a dispatcher's lines are added in their order."""
        event = line["event"]
        self.events[event] += 1
        if event == "shutdown_started":
            self.shutdowns.append((line["at"], math.inf, dispatcher))
        elif event == "stopped":
            began = self.shutdowns[-1][0]
            self.shutdowns[-1] = (began, line["at"], dispatcher)
        if event in FAULT_EVENTS and len(self.faults) < MAX_SHOWN_EVENTS:
            self.faults.append(f"n{dispatcher}: {line}")


class FleetSummary:
    """Combines the audit, the logs and the timeline."""

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def result(self) -> Result:
        """Finish the audit, read the logs, and return the result."""
        state = self._state
        plan = state.plan
        audit = state.audit
        audit.finish(state.now())
        calls = [at for agent in state.agents for at in agent.calls]
        rows: list[TimelineRow] = timeline(
            list(audit.requests.values()), state.in_flight, calls, plan.duration_s
        )
        log = self._read_logs()
        return Result(
            lines=[msgspec.to_builtins(row) for row in rows],
            recovery_s=recovery_time_s(rows, plan.warm_up_s / 2, plan.first_fault_at, plan.faults_end_at),
            ready_s=[round(s, 3) for s in state.ready_s],
            violations=audit.violations,
            stale_sends=audit.stale_sends,
            outcomes=dict(Counter(request.outcome for request in audit.requests.values())),
            lag_s=round(state.delays.lag_s, 3),
            void=state.delays.lag_s > VOID_LAG_S,
            crashed=state.crashed,
            events=dict(log.events),
            fault_lines=log.faults,
            failures=dict(audit.failures),
            holders=[
                LeaseHolder(
                    round(tenure.first, 2), round(tenure.last, 2), tenure.dispatcher, tenure.fencing_token
                )
                for tenure in audit.tenures
            ],
            shutdowns=sorted(log.shutdowns),
            unaffected=self._unaffected(),
        )

    def _read_logs(self) -> LogSummary:
        log = LogSummary()
        for program in self._state.programs:
            for line in program.events():
                log.add(program.number, line)
            program.log.close()
        return log

    def _unaffected(self) -> tuple[int, int, float] | None:
        """Return requests, served requests and the median time to the first token, in milliseconds.

        Only requests count that were sent while paths to hosts were broken, to dispatchers whose own was not.
        None if none of them had a first token.
        """
        plan = self._state.plan
        times = [(fault.at, fault.at + fault.duration_s) for fault in plan.faults if fault.kind == "link"]
        requests = [
            request
            for request in self._state.audit.requests.values()
            if request.first_try
            and request.dispatcher not in self._state.broken_links
            and any(first <= request.sent_at < last for first, last in times)
        ]
        first_tokens_ms = [
            (request.first_token_at - request.sent_at) * 1000.0
            for request in requests
            if request.first_token_at is not None
        ]
        if not first_tokens_ms:
            return None
        return (
            len(requests),
            sum(request.outcome == "served" for request in requests),
            round(median(first_tokens_ms), 1),
        )
