"""Conditions over signals: their truth where a signal may be unknown, and whether two can hold together."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

# Each signal with the unit of its threshold in a file: a share, or a duration in milliseconds.
SIGNALS = {
    "lateness": "share",  # 90th percentile of first-token time over the class's aim; 100% is at the aim
    "refused": "share",  # of requests answered: refused by the module
    "failed": "share",  # of requests answered: failed or cut
    "reader_free": "share",  # freeness of the best reader, as the module sees it; below 0 when behind
    "writer_free": "share",
    "cold": "share",  # of hosts
    "gone": "share",  # of hosts, against the most seen in the last minute
    "clients": "share",  # of the client connections that there is room for
    "bytes": "share",  # of the request bytes that there is room for
    "lag": "duration",  # the program's own: how late its loop wakes
    "cpu": "share",  # of what the limits grant
}
MAX_CASES = 256


@dataclass(frozen=True, slots=True)
class Crossing:
    """`signal` against `bound`: below it, or (`at_least`) at it or above."""

    signal: str
    at_least: bool
    bound: float
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Every:
    parts: tuple[Rule, ...]


@dataclass(frozen=True, slots=True)
class Some:
    parts: tuple[Rule, ...]


Rule = Crossing | Every | Some


def negated(rule: Rule) -> Rule:
    match rule:
        case Crossing():
            return Crossing(rule.signal, not rule.at_least, rule.bound, rule.where)
        case Every():
            return Some(tuple(negated(part) for part in rule.parts))
        case Some():
            return Every(tuple(negated(part) for part in rule.parts))


def truth(rule: Rule, readings: Mapping[str, float | None]) -> bool | None:
    """None where it hangs on a signal that is not known."""
    match rule:
        case Crossing():
            value = readings.get(rule.signal)
            return None if value is None else (value >= rule.bound) is rule.at_least
        case Every() | Some():
            stops = isinstance(rule, Some)
            found = [truth(part, readings) for part in rule.parts]
            if stops in found:
                return stops
            return None if None in found else not stops


def crossings(rule: Rule) -> list[Crossing]:
    if isinstance(rule, Crossing):
        return [rule]
    return [each for part in rule.parts for each in crossings(part)]


def text(rule: Rule) -> str:
    match rule:
        case Crossing():
            unit = SIGNALS[rule.signal]
            bound = f"{rule.bound * 100:g}%" if unit == "share" else f"{rule.bound:g}ms"
            return f"{rule.signal} {'>=' if rule.at_least else '<'} {bound}"
        case _:
            word = " or " if isinstance(rule, Some) else " and "
            return word.join(f"({text(p)})" if not isinstance(p, Crossing) else text(p) for p in rule.parts)


Case = dict[str, tuple[float, float]]  # by signal: from, and below


class TooManyCases(Exception):
    """The rule multiplies out into more than MAX_CASES cases."""


def cases(rule: Rule) -> list[Case]:
    """All ways in which the rule can hold, as intervals; empty if it never can."""
    match rule:
        case Crossing():
            span = (rule.bound, math.inf) if rule.at_least else (-math.inf, rule.bound)
            return [{rule.signal: span}]
        case Some():
            found = [case for part in rule.parts for case in cases(part)]
        case Every():
            found = [{}]
            for part in rule.parts:
                found = [m for a in found for b in cases(part) if (m := _meet(a, b)) is not None]
                if len(found) > MAX_CASES:
                    raise TooManyCases
    if len(found) > MAX_CASES:
        raise TooManyCases
    return found


def _meet(a: Case, b: Case) -> Case | None:
    met = dict(a)
    for signal, (low, high) in b.items():
        mine = met.get(signal, (-math.inf, math.inf))
        met[signal] = (max(low, mine[0]), min(high, mine[1]))
        if met[signal][0] >= met[signal][1]:
            return None
    return met


def both(a: Rule, b: Rule) -> Case | None:
    """Readings under which both hold, if there are any."""
    return next(iter(cases(Every((a, b)))), None)
