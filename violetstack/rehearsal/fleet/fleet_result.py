"""Sums up a fleet run that has ended."""

from __future__ import annotations

import math
from collections import Counter
from statistics import median
from typing import Any

import msgspec

from violetstack.rehearsal.fleet.audit import Line, lines, to_full_s
from violetstack.rehearsal.fleet.fleet_state import FleetState
from violetstack.rehearsal.fleet.report import LeaseHolder, Result

VOID_LAG_S = 0.25
"""Stand-ins that were later than this measured themselves."""
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
    """Log lines of all dispatchers: counts by event, the first of faults, begin and end of shutdowns."""

    def __init__(self) -> None:
        self.events: Counter[str] = Counter()
        self.faults: list[str] = []
        self.shutdowns: list[tuple[float, float, int]] = []

    def add(self, dispatcher: int, line: dict[str, Any]) -> None:
        """A dispatcher's lines come in their order."""
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
    """What the auditor, the logs and the clients show together."""

    def __init__(self, state: FleetState) -> None:
        self._state = state

    def result(self) -> Result:
        """Closes the audit and the logs."""
        state = self._state
        plan = state.plan
        audit = state.audit
        audit.close(state.now())
        calls = [at for agent in state.agents for at in agent.calls]
        rows: list[Line] = lines(list(audit.asked.values()), state.in_flight, calls, plan.seconds)
        log = self._read_logs()
        return Result(
            lines=[msgspec.to_builtins(row) for row in rows],
            to_full_s=to_full_s(rows, plan.warm / 2, plan.fault_at, plan.over_at),
            ready_s=[round(s, 3) for s in state.ready_s],
            breaches=audit.breaches,
            stale=audit.stale,
            answers=dict(Counter(each.answer for each in audit.asked.values())),
            lag_s=round(state.lag, 3),
            void=state.lag > VOID_LAG_S,
            crashed=state.crashed,
            events=dict(log.events),
            loud=log.faults,
            failures=dict(audit.failures),
            holders=[
                LeaseHolder(round(row.first, 2), round(row.last, 2), row.dispatcher, row.fencing_token)
                for row in audit.holders
            ],
            ends=sorted(log.shutdowns),
            others=self._others(),
        )

    def _read_logs(self) -> LogSummary:
        log = LogSummary()
        for program in self._state.programs:
            for line in program.events():
                log.add(program.number, line)
            program.log.close()
        return log

    def _others(self) -> tuple[int, int, float] | None:
        """Of the dispatchers whose links held, while others' were broken: asked, served, first token, ms."""
        plan = self._state.plan
        times = [(each.at, each.at + each.lasts) for each in plan.trouble if each.do == "link"]
        rows = [
            each
            for each in self._state.audit.asked.values()
            if each.first_try
            and each.dispatcher not in self._state.broken_links
            and any(first <= each.sent < last for first, last in times)
        ]
        firsts = [(each.first - each.sent) * 1000.0 for each in rows if each.first is not None]
        if not firsts:
            return None
        return len(rows), sum(each.answer == "served" for each in rows), round(median(firsts), 1)
