"""What a run comes to, for a program and for a person."""

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
    """What one run showed; `to_full_s` is None if service was not whole before its end."""

    lines: list[dict[str, Any]]
    to_full_s: float | None
    ready_s: list[float]  # from each start in a trouble to the first yes
    breaches: list[str]
    stale: int
    answers: dict[str, int]
    lag_s: float
    void: bool
    crashed: list[str]
    events: dict[str, int]  # log lines of the dispatchers, by kind
    loud: list[str]  # the first of those that tell of trouble
    failures: dict[str, int] = {}  # answers of failing hosts
    holders: list[LeaseHolder] = []
    ends: list[tuple[float, float, int]] = []  # Unix seconds: `stopping`, `stopped`, whose
    others: tuple[int, int, float] | None = None  # beside broken links: asked, served, first token


def told(result: Result) -> str:
    """For a person: a line each half second, then what it comes to."""
    rows = ["    s  asked served refused  lost first ms inside calls"] + [
        f"{r['at']:5.1f} {r['asked']:6d} {r['served']:6d} {r['refused']:7d} {r['lost']:5d} "
        f"{r['first_ms'] if r['first_ms'] is not None else '-':>8} {r['most_inside']:6d} {r['calls']:5d}"
        for r in result.lines
    ]
    full = "not before the end" if result.to_full_s is None else f"{result.to_full_s:.1f} s"
    rows.append(f"whole service after the last trouble: {full}; answers: {result.answers}")
    if result.failures:
        rows.append(f"failures met at hosts: {result.failures}")
    if result.others is not None:
        asked, served, first_ms = result.others
        rows.append(f"beside the broken links: {served} of {asked} served, first token {first_ms} ms")
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
    rows += [f"BROKEN {breach}" for breach in result.breaches[:20]]
    rows += [f"  {line}" for line in result.loud]
    rows += [f"CRASHED {text}" for text in result.crashed]
    void = "; VOID: the stand-ins fell behind" if result.void else ""
    rows.append(f"rules broken: {len(result.breaches)}; stand-ins late by {result.lag_s * 1000:.0f} ms{void}")
    return "\n".join(rows)
