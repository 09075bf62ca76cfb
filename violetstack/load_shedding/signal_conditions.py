"""Conditions over signals: evaluation in three-valued logic, and whether two can hold at once."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from violetstack.load_shedding.errors import TooManyRegionsError

# Each signal with the unit of its threshold in a file: a share, or a duration in milliseconds.
SIGNALS = {
    "lateness": "share",  # 90th percentile of time to first token over the class's objective; 100% is on time
    "refused": "share",  # of finished requests: rejected by the policy
    "failed": "share",  # of finished requests: failed, or cut off after the first event
    "reader_free": "share",  # freeness of the best prefill host; below 0 when it is behind
    "writer_free": "share",  # the same of the best decode host
    "cold": "share",  # of endpoints: those in slow start
    "gone": "share",  # of the most endpoints seen in the last minute: those that are missing
    "clients": "share",  # of the client connections that the limits allow
    "bytes": "share",  # of the request body bytes that the limits allow
    "lag": "duration",  # how late the event loop of this process wakes
    "cpu": "share",  # of the processor time that the limits grant
}
MAX_REGIONS = 256


@dataclass(frozen=True, slots=True)
class Threshold:
    """One signal against a bound.

    Attributes:
        signal: A key of `SIGNALS`.
        at_least: Whether the value has to reach the bound; otherwise it has to be below it.
        bound: As a part of one, or in milliseconds.
        where: Place in the operator's file.
    """

    signal: str
    at_least: bool
    bound: float
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Conjunction:
    """Holds if every part does."""

    parts: tuple[SignalCondition, ...]


@dataclass(frozen=True, slots=True)
class Disjunction:
    """Holds if at least one part does."""

    parts: tuple[SignalCondition, ...]


SignalCondition = Threshold | Conjunction | Disjunction


def negate(condition: SignalCondition) -> SignalCondition:
    """Returns the condition that holds where the given one does not (De Morgan)."""
    match condition:
        case Threshold(signal, at_least, bound, where):
            return Threshold(signal, not at_least, bound, where)
        case Conjunction(parts):
            return Disjunction(tuple(negate(part) for part in parts))
        case Disjunction(parts):
            return Conjunction(tuple(negate(part) for part in parts))


def evaluate(condition: SignalCondition, values: Mapping[str, float | None]) -> bool | None:
    """Returns whether a condition holds, None where that depends on an unknown signal (Kleene's logic)."""
    match condition:
        case Threshold():
            value = values.get(condition.signal)
            return None if value is None else (value >= condition.bound) is condition.at_least
        case Conjunction() | Disjunction():
            deciding = isinstance(condition, Disjunction)
            results = [evaluate(part, values) for part in condition.parts]
            if deciding in results:
                return deciding
            return None if None in results else not deciding


def thresholds(condition: SignalCondition) -> list[Threshold]:
    """Returns all thresholds in a condition."""
    if isinstance(condition, Threshold):
        return [condition]
    return [threshold for part in condition.parts for threshold in thresholds(part)]


def describe(condition: SignalCondition) -> str:
    """Returns the condition as text of the operator's language."""
    if isinstance(condition, Threshold):
        is_share = SIGNALS[condition.signal] == "share"
        bound = f"{condition.bound * 100:g}%" if is_share else f"{condition.bound:g}ms"
        return f"{condition.signal} {'>=' if condition.at_least else '<'} {bound}"
    operator = " or " if isinstance(condition, Disjunction) else " and "
    return operator.join(
        describe(part) if isinstance(part, Threshold) else f"({describe(part)})" for part in condition.parts
    )


class Interval(NamedTuple):
    """Values from `low` to below `high`."""

    low: float
    high: float


Region = dict[str, Interval]  # by signal; a signal that is not named may have any value
ALL_VALUES = Interval(-math.inf, math.inf)


def regions(condition: SignalCondition) -> list[Region]:
    """Returns the regions in which a condition holds (its disjunctive normal form); none if it never can.

    Raises:
        TooManyRegionsError: There are more than `MAX_REGIONS`.
    """
    match condition:
        case Threshold(signal, at_least, bound):
            interval = Interval(bound, math.inf) if at_least else Interval(-math.inf, bound)
            return [{signal: interval}]
        case Disjunction(parts):
            found = _bounded([region for part in parts for region in regions(part)])
        case Conjunction(parts):
            found = [{}]
            for part in parts:
                found = _bounded(_intersections(found, regions(part)))
    return found


def overlap(first: SignalCondition, second: SignalCondition) -> Region | None:
    """Returns a region in which both conditions hold, None if there is none.

    Raises:
        TooManyRegionsError: There are more than `MAX_REGIONS` to compare.
    """
    return next(iter(regions(Conjunction((first, second)))), None)


def _bounded(found: list[Region]) -> list[Region]:
    if len(found) > MAX_REGIONS:
        raise TooManyRegionsError(MAX_REGIONS)
    return found


def _intersections(first: list[Region], second: list[Region]) -> list[Region]:
    met = [_intersection(left, right) for left in first for right in second]
    return [region for region in met if region is not None]


def _intersection(first: Region, second: Region) -> Region | None:
    met = dict(first)
    for signal, interval in second.items():
        mine = met.get(signal, ALL_VALUES)
        met[signal] = Interval(max(interval.low, mine.low), min(interval.high, mine.high))
        if met[signal].low >= met[signal].high:
            return None
    return met
