"""Conditions on signals: evaluation in three-valued logic, and whether two of them can hold at once."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from violetstack.load_shedding.errors import TooManyRegionsError

# The signals, each with the unit of its thresholds: a share, or a duration in milliseconds.
SIGNALS = {
    "lateness": "share",  # 90th percentile of the time to first token over its objective
    "refused": "share",  # of finished requests: those rejected by the policy
    "failed": "share",  # of finished requests: those that failed or were truncated after the first event
    "reader_free": "share",  # freeness of the best prefill host; negative if its work exceeds its budget
    "writer_free": "share",  # freeness of the best decode host
    "cold": "share",  # of the endpoints: those in slow start
    "gone": "share",  # of the largest number of endpoints in the last minute: those that are no longer listed
    "clients": "share",  # of the allowed client connections: those that are open
    "bytes": "share",  # of the allowed bytes of request bodies: those in use
    "lag": "duration",  # delay with which the event loop of this process wakes up
    "cpu": "share",  # of the processor time that this process may use: the time it uses
}
MAX_REGIONS = 256


@dataclass(frozen=True, slots=True)
class Threshold:
    """Compares one signal with a bound.

    Attributes:
        signal: A key of `SIGNALS`.
        at_least: True if the value has to be at least the bound, false if it has to be below it.
        bound: A share (1 is 100%), or a duration in milliseconds.
        where: Position in the operator's file, for messages.
    """

    signal: str
    at_least: bool
    bound: float
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Conjunction:
    """Holds if all parts hold."""

    parts: tuple[SignalCondition, ...]


@dataclass(frozen=True, slots=True)
class Disjunction:
    """Holds if at least one part holds."""

    parts: tuple[SignalCondition, ...]


SignalCondition = Threshold | Conjunction | Disjunction


def negate(condition: SignalCondition) -> SignalCondition:
    """Returns the negation of a condition, by De Morgan's laws."""
    match condition:
        case Threshold(signal, at_least, bound, where):
            return Threshold(signal, not at_least, bound, where)
        case Conjunction(parts):
            return Disjunction(tuple(negate(part) for part in parts))
        case Disjunction(parts):
            return Conjunction(tuple(negate(part) for part in parts))


def evaluate(condition: SignalCondition, values: Mapping[str, float | None]) -> bool | None:
    """Returns whether a condition holds; None if that depends on an unknown signal (Kleene's logic)."""
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
    """Returns the condition in the syntax of the operator's file."""
    if isinstance(condition, Threshold):
        is_share = SIGNALS[condition.signal] == "share"
        bound = f"{condition.bound * 100:g}%" if is_share else f"{condition.bound:g}ms"
        return f"{condition.signal} {'>=' if condition.at_least else '<'} {bound}"
    operator = " or " if isinstance(condition, Disjunction) else " and "
    return operator.join(
        describe(part) if isinstance(part, Threshold) else f"({describe(part)})" for part in condition.parts
    )


class Interval(NamedTuple):
    """The values from `low` up to, but not including, `high`."""

    low: float
    high: float


Region = dict[str, Interval]  # interval by signal; other signals may have any value
ALL_VALUES = Interval(-math.inf, math.inf)


def regions(condition: SignalCondition) -> list[Region]:
    """Returns the regions in which a condition holds (its disjunctive normal form); none if it never holds.

    Raises:
        TooManyRegionsError: There are more than `MAX_REGIONS`.
    """
    match condition:
        case Threshold(signal, at_least, bound):
            interval = Interval(bound, math.inf) if at_least else Interval(-math.inf, bound)
            return [{signal: interval}]
        case Disjunction(parts):
            result = _within_limit([region for part in parts for region in regions(part)])
        case Conjunction(parts):
            result = [{}]
            for part in parts:
                result = _within_limit(_intersections(result, regions(part)))
    return result


def overlap(first: SignalCondition, second: SignalCondition) -> Region | None:
    """Returns a region in which both conditions hold; None if there is none.

    Raises:
        TooManyRegionsError: There are more than `MAX_REGIONS` to compare.
    """
    return next(iter(regions(Conjunction((first, second)))), None)


def _within_limit(candidates: list[Region]) -> list[Region]:
    if len(candidates) > MAX_REGIONS:
        raise TooManyRegionsError(MAX_REGIONS)
    return candidates


def _intersections(first: list[Region], second: list[Region]) -> list[Region]:
    intersections = [_intersection(left, right) for left in first for right in second]
    return [region for region in intersections if region is not None]


def _intersection(first: Region, second: Region) -> Region | None:
    intersection = dict(first)
    for signal, interval in second.items():
        other = intersection.get(signal, ALL_VALUES)
        intersection[signal] = Interval(max(interval.low, other.low), min(interval.high, other.high))
        if intersection[signal].low >= intersection[signal].high:
            return None
    return intersection
