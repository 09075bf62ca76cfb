"""The result of a fleet run, and its form as text."""

from __future__ import annotations

from statistics import median
from typing import Any, NamedTuple

import msgspec


class LeaseHolder(NamedTuple):
    """A dispatcher that acted under a lease: the times of its first and last act, and its fencing token."""

    first: float
    last: float
    dispatcher: int
    fencing_token: int


class Result(msgspec.Struct):
    """What one run showed. The JSON report has the outer names of the fields.

    Attributes:
        lines: The timeline: a row for each half second.
        recovery_s: From the end of the last fault to full service; None if that was not reached.
        ready_s: The time from each start of a process during the run to its first readiness.
        violations: The rules that were broken, with the evidence.
        stale_sends: Requests sent to a host after the time to stop after its drain.
        outcomes: Requests by outcome.
        lag_s: How late the simulated hosts and clients were at most.
        void: Whether that was too late for the run to count.
        crashed: The dispatchers that ended unexpectedly.
        events: Log lines of the dispatchers, by event.
        fault_lines: The first log lines that report a fault.
        failures: Error responses of failing hosts, by host.
        holders: The holders of leases, one after the other.
        shutdowns: Begin and end of each shutdown, in Unix seconds, and the dispatcher's number.
        unaffected: For dispatchers whose paths to hosts held while others' were broken: requests, how many
            were served, and the median time to the first token in milliseconds.
    """

    lines: list[dict[str, Any]]
    recovery_s: float | None = msgspec.field(name="to_full_s")
    ready_s: list[float]
    violations: list[str] = msgspec.field(name="breaches")
    stale_sends: int = msgspec.field(name="stale")
    outcomes: dict[str, int] = msgspec.field(name="answers")
    lag_s: float
    void: bool
    crashed: list[str]
    events: dict[str, int]
    fault_lines: list[str] = msgspec.field(name="loud")
    failures: dict[str, int] = {}
    holders: list[LeaseHolder] = []
    shutdowns: list[tuple[float, float, int]] = msgspec.field(name="ends", default_factory=list)
    unaffected: tuple[int, int, float] | None = msgspec.field(name="others", default=None)


def format_result(result: Result) -> str:
    """Return the result as text: a line for each half second, then a summary."""
    rows = ["    s  asked served refused  lost first ms inside calls"] + [
        f"{r['at']:5.1f} {r['asked']:6d} {r['served']:6d} {r['refused']:7d} {r['lost']:5d} "
        f"{r['first_ms'] if r['first_ms'] is not None else '-':>8} {r['most_inside']:6d} {r['calls']:5d}"
        for r in result.lines
    ]
    recovery = "not before the end" if result.recovery_s is None else f"{result.recovery_s:.1f} s"
    rows.append(f"full service after the last fault: {recovery}; outcomes: {result.outcomes}")
    if result.failures:
        rows.append(f"error responses of failing hosts: {result.failures}")
    if result.unaffected is not None:
        asked, served, first_ms = result.unaffected
        rows.append(
            f"dispatchers without broken paths: {served} of {asked} served, first token {first_ms} ms"
        )
    for holder in result.holders:
        rows.append(
            f"  lease: dispatcher {holder.dispatcher} with token {holder.fencing_token}, "
            f"{holder.first:.2f} to {holder.last:.2f} s"
        )
    if result.ready_s:
        rows.append(
            f"ready after a start: {min(result.ready_s):.2f} to {max(result.ready_s):.2f} s, "
            f"median {median(result.ready_s):.2f} s"
        )
    rows += [f"VIOLATED {violation}" for violation in result.violations[:20]]
    rows += [f"  {line}" for line in result.fault_lines]
    rows += [f"CRASHED {text}" for text in result.crashed]
    void = "; VOID: the simulated hosts and clients fell behind" if result.void else ""
    rows.append(
        f"rules violated: {len(result.violations)}; "
        f"simulated hosts and clients late by {result.lag_s * 1000:.0f} ms{void}"
    )
    return "\n".join(rows)
