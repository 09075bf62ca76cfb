"""Conditions on requests and hosts: their evaluation, why one does not hold, and the boxes that they cover.

A condition is a tree of `OneOf`, `InRange`, `AllOf`, `AnyOf` and `Not`. A condition on requests covers a
region in six dimensions: five categorical attributes, and the prompt's length as a half-open interval of
tokens. `to_boxes` converts the tree to a union of boxes. The index, the checker and `config diff` use the
boxes alone, so that their results depend on what a condition means and not on how it is written.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

CATEGORICAL_ATTRIBUTES = ("class", "tenant", "model", "front", "retry")  # in the order of the index's levels
PROMPT = "prompt"
REQUEST_ATTRIBUTES = (*CATEGORICAL_ATTRIBUTES, PROMPT)
HOST_ATTRIBUTES = ("kind", "zone", "cell", "label", "host")
YES = "yes"
NO = "no"
CLOSED_NAMES: dict[str, frozenset[str]] = {
    "front": frozenset({"platform", "chat"}),
    "retry": frozenset({YES, NO}),
}
UNBOUNDED = 1 << 62  # tokens; upper end of an interval without a limit
MAX_BOXES = 256  # of one condition; bounds the size of the index

Values = Mapping[str, "str | int | frozenset[str]"]


class TooManyBoxesError(Exception):
    """A condition expands to more than MAX_BOXES boxes."""


@dataclass(frozen=True, slots=True)
class OneOf:
    """Holds if the attribute is one of the values; for labels, if any label of the host is one of them."""

    attribute: str
    values: frozenset[str]
    location: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class InRange:
    """Holds if `low <= attribute < high`, in tokens."""

    attribute: str
    low: int
    high: int = UNBOUNDED
    location: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class AllOf:
    """Holds if every part holds, and always without parts."""

    parts: tuple[Condition, ...] = ()


@dataclass(frozen=True, slots=True)
class AnyOf:
    """Holds if at least one part holds."""

    parts: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class Not:
    """Holds if the part does not."""

    part: Condition


Condition = OneOf | InRange | AllOf | AnyOf | Not
ALWAYS = AllOf()


def holds(condition: Condition, values: Values) -> bool:
    """Evaluates the condition; the index must give the same result."""
    match condition:
        case OneOf():
            value = values.get(condition.attribute, "")
            if isinstance(value, frozenset):
                return not value.isdisjoint(condition.values)
            return str(value) in condition.values
        case InRange():
            tokens = values.get(condition.attribute, 0)
            return isinstance(tokens, int) and condition.low <= tokens < condition.high
        case AllOf():
            return all(holds(part, values) for part in condition.parts)
        case AnyOf():
            return any(holds(part, values) for part in condition.parts)
        case Not():
            return not holds(condition.part, values)


def format_condition(condition: Condition) -> str:
    """Returns the condition as it would be written in a file, in canonical form."""
    match condition:
        case OneOf():
            names = sorted(condition.values)
            if condition.attribute == "retry":
                return "retry" if names == [YES] else "not retry"
            if len(names) == 1:
                return f"{condition.attribute} == {names[0]}"
            return f"{condition.attribute} in {{{', '.join(names)}}}"
        case InRange():
            if condition.high == UNBOUNDED:
                return f"{condition.attribute} >= {condition.low} tok"
            if condition.low == 0:
                return f"{condition.attribute} < {condition.high} tok"
            return f"{condition.attribute} in {condition.low} tok .. {condition.high} tok"
        case AllOf():
            return " and ".join(_format_part(part) for part in condition.parts) or "always"
        case AnyOf():
            return " or ".join(_format_part(part) for part in condition.parts)
        case Not():
            return f"not {_format_part(condition.part)}"


def _format_part(part: Condition) -> str:
    return f"({format_condition(part)})" if isinstance(part, AllOf | AnyOf) else format_condition(part)


def explain_mismatch(condition: Condition, values: Values) -> list[str]:
    """Returns why the condition does not hold, each reason with its location; empty if it holds."""
    if holds(condition, values):
        return []
    match condition:
        case OneOf() | InRange():
            actual = values.get(condition.attribute, "")
            actual_text = ", ".join(sorted(actual)) if isinstance(actual, frozenset) else str(actual)
            at = f" ({condition.location})" if condition.location else ""
            return [
                f"{condition.attribute} is {actual_text or 'none'}, not {format_condition(condition)}{at}"
            ]
        case AllOf():
            return next(reasons for part in condition.parts if (reasons := explain_mismatch(part, values)))
        case AnyOf():
            return [reason for part in condition.parts for reason in explain_mismatch(part, values)]
        case Not():
            return [f"{format_condition(condition.part)} holds, and must not"]


# --- boxes ---


@dataclass(frozen=True, slots=True)
class NameSet:
    """A set of names or, if `excluded`, all names except these."""

    names: frozenset[str] = frozenset()
    excluded: bool = True

    def intersect(self, other: NameSet) -> NameSet:
        """Returns the names that are in both sets."""
        if self.excluded and other.excluded:
            return NameSet(self.names | other.names, True)
        if not self.excluded and not other.excluded:
            return NameSet(self.names & other.names, False)
        inside, outside = (other, self) if self.excluded else (self, other)
        return NameSet(inside.names - outside.names, False)

    @property
    def is_empty(self) -> bool:
        """Returns whether no name is in the set."""
        return not self.excluded and not self.names

    @property
    def is_universal(self) -> bool:
        """Returns whether every name is in the set."""
        return self.excluded and not self.names


ANY_NAME = NameSet()


@dataclass(frozen=True, slots=True)
class Box:
    """A set of names for each of CATEGORICAL_ATTRIBUTES, and an interval of prompt tokens."""

    name_sets: tuple[NameSet, ...] = (ANY_NAME,) * len(CATEGORICAL_ATTRIBUTES)
    low: int = 0
    high: int = UNBOUNDED

    def intersect(self, other: Box) -> Box | None:
        """Returns the box that both cover, or None if they are disjoint."""
        low = max(self.low, other.low)
        high = min(self.high, other.high)
        if low >= high:
            return None
        name_sets = tuple(a.intersect(b) for a, b in zip(self.name_sets, other.name_sets, strict=True))
        return None if any(name_set.is_empty for name_set in name_sets) else Box(name_sets, low, high)

    def contains(self, categorical: tuple[str, ...], prompt_tokens: int) -> bool:
        """Returns whether the box covers a request with these attributes."""
        if not self.low <= prompt_tokens < self.high:
            return False
        return all(
            (name in name_set.names) != name_set.excluded
            for name, name_set in zip(categorical, self.name_sets, strict=True)
        )

    def matches_all_from(self, level: int) -> bool:
        """Returns whether every request that reached this level of the index is in the box."""
        any_length = self.low == 0 and self.high == UNBOUNDED
        return any_length and all(name_set.is_universal for name_set in self.name_sets[level:])


def to_boxes(condition: Condition) -> list[Box]:
    """Returns boxes that together cover the same requests as the condition; they may overlap.

    Raises:
        TooManyBoxesError: there would be more than MAX_BOXES.
    """
    return _to_boxes(condition, True)


def _to_boxes(condition: Condition, expected: bool) -> list[Box]:
    """Returns the boxes in which the condition holds or, if not `expected`, those in which it does not."""
    match condition:
        case OneOf():
            level = CATEGORICAL_ATTRIBUTES.index(condition.attribute)
            names = condition.values
            excluded = not expected
            if condition.attribute in CLOSED_NAMES and excluded:
                names = CLOSED_NAMES[condition.attribute] - names
                excluded = False
            name_set = NameSet(names, excluded)
            name_sets = tuple(
                name_set if index == level else ANY_NAME for index in range(len(CATEGORICAL_ATTRIBUTES))
            )
            return [] if name_set.is_empty else [Box(name_sets)]
        case InRange():
            if expected:
                return [Box(low=condition.low, high=condition.high)] if condition.low < condition.high else []
            below = [Box(high=condition.low)] if condition.low > 0 else []
            return below + ([Box(low=condition.high)] if condition.high < UNBOUNDED else [])
        case Not():
            return _to_boxes(condition.part, not expected)
        case AllOf() | AnyOf():
            if isinstance(condition, AllOf) is expected:
                intersections = [Box()]
                for part in condition.parts:
                    part_boxes = _to_boxes(part, expected)
                    intersections = _deduplicated(
                        [
                            both
                            for a in intersections
                            for b in part_boxes
                            if (both := a.intersect(b)) is not None
                        ]
                    )
                return intersections
            return _deduplicated([box for part in condition.parts for box in _to_boxes(part, expected)])


def _deduplicated(boxes: list[Box]) -> list[Box]:
    """Removes duplicates. Raises TooManyBoxesError if more than MAX_BOXES are left."""
    boxes = list(dict.fromkeys(boxes))
    if len(boxes) > MAX_BOXES:
        raise TooManyBoxesError(f"more than {MAX_BOXES} separate cases")
    return boxes
