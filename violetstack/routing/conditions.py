"""Conditions on requests and hosts: what they mean, why one does not hold, and the boxes they cover.

A condition is a tree of `Among`, `Between`, `All`, `Any` and `Not`. Over requests it covers a region of
six attributes, five of them finite sets and one (`prompt`) a half-open interval of tokens. `boxes` turns
the tree into a union of boxes; the index, the checker and `config diff` work on those alone, so that what
they say follows from what a condition means and not from how it is written.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

FINITE = ("class", "tenant", "model", "front", "retry")  # the order of the index's levels
PROMPT = "prompt"
REQUEST_ATTRIBUTES = (*FINITE, PROMPT)
HOST_ATTRIBUTES = ("kind", "zone", "cell", "label", "host")
YES = "yes"
NO = "no"
CLOSED: dict[str, frozenset[str]] = {"front": frozenset({"platform", "chat"}), "retry": frozenset({YES, NO})}
NEVER_ENDS = 1 << 62  # tokens; the open end of an interval
MAX_BOXES = 256  # of one condition; guards the index against conditions that multiply out

Values = Mapping[str, "str | int | frozenset[str]"]


class TooEntangled(Exception):
    """A condition multiplies out into more than MAX_BOXES boxes."""


@dataclass(frozen=True, slots=True)
class Among:
    """The attribute is one of the values; a label condition holds if any label of the host is."""

    attribute: str
    values: frozenset[str]
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class Between:
    """`low <= attribute < high`, in tokens."""

    attribute: str
    low: int
    high: int = NEVER_ENDS
    where: str = field(default="", compare=False)


@dataclass(frozen=True, slots=True)
class All:
    """Every part holds; with no parts, always."""

    parts: tuple[Condition, ...] = ()


@dataclass(frozen=True, slots=True)
class Any:
    parts: tuple[Condition, ...]


@dataclass(frozen=True, slots=True)
class Not:
    part: Condition


Condition = Among | Between | All | Any | Not
ALWAYS = All()


def holds(condition: Condition, values: Values) -> bool:
    """The plain meaning, which the index must agree with."""
    match condition:
        case Among():
            value = values.get(condition.attribute, "")
            if isinstance(value, frozenset):
                return not value.isdisjoint(condition.values)
            return str(value) in condition.values
        case Between():
            told = values.get(condition.attribute, 0)
            return isinstance(told, int) and condition.low <= told < condition.high
        case All():
            return all(holds(part, values) for part in condition.parts)
        case Any():
            return any(holds(part, values) for part in condition.parts)
        case Not():
            return not holds(condition.part, values)


def text(condition: Condition) -> str:
    """As it would be written in a file, in the one canonical form."""
    match condition:
        case Among():
            names = sorted(condition.values)
            if condition.attribute == "retry":
                return "retry" if names == [YES] else "not retry"
            if len(names) == 1:
                return f"{condition.attribute} == {names[0]}"
            return f"{condition.attribute} in {{{', '.join(names)}}}"
        case Between():
            if condition.high == NEVER_ENDS:
                return f"{condition.attribute} >= {condition.low} tok"
            if condition.low == 0:
                return f"{condition.attribute} < {condition.high} tok"
            return f"{condition.attribute} in {condition.low} tok .. {condition.high} tok"
        case All():
            return " and ".join(_inner(part) for part in condition.parts) or "always"
        case Any():
            return " or ".join(_inner(part) for part in condition.parts)
        case Not():
            return f"not {_inner(condition.part)}"


def _inner(part: Condition) -> str:
    return f"({text(part)})" if isinstance(part, All | Any) else text(part)


def why_not(condition: Condition, values: Values) -> list[str]:
    """What keeps the condition from holding, each as a sentence with its place; empty if it holds."""
    if holds(condition, values):
        return []
    match condition:
        case Among() | Between():
            mine = values.get(condition.attribute, "")
            shown = ", ".join(sorted(mine)) if isinstance(mine, frozenset) else str(mine)
            at = f" ({condition.where})" if condition.where else ""
            return [f"{condition.attribute} is {shown or 'none'}, not {text(condition)}{at}"]
        case All():
            return next(told for part in condition.parts if (told := why_not(part, values)))
        case Any():
            return [line for part in condition.parts for line in why_not(part, values)]
        case Not():
            return [f"{text(condition.part)} holds, and must not"]


# --- boxes ---


@dataclass(frozen=True, slots=True)
class Choice:
    """A set of names, or (`out`) all names but these."""

    names: frozenset[str] = frozenset()
    out: bool = True

    def meet(self, other: Choice) -> Choice:
        if self.out and other.out:
            return Choice(self.names | other.names, True)
        if not self.out and not other.out:
            return Choice(self.names & other.names, False)
        inside, outside = (other, self) if self.out else (self, other)
        return Choice(inside.names - outside.names, False)

    @property
    def empty(self) -> bool:
        return not self.out and not self.names

    @property
    def whole(self) -> bool:
        return self.out and not self.names


WHOLE = Choice()


@dataclass(frozen=True, slots=True)
class Box:
    """One choice for each of FINITE, and an interval of prompt tokens."""

    choices: tuple[Choice, ...] = (WHOLE,) * len(FINITE)
    low: int = 0
    high: int = NEVER_ENDS

    def meet(self, other: Box) -> Box | None:
        low = max(self.low, other.low)
        high = min(self.high, other.high)
        if low >= high:
            return None
        choices = tuple(a.meet(b) for a, b in zip(self.choices, other.choices, strict=True))
        return None if any(choice.empty for choice in choices) else Box(choices, low, high)

    def holds(self, finite: tuple[str, ...], prompt: int) -> bool:
        if not self.low <= prompt < self.high:
            return False
        return all((name in c.names) != c.out for name, c in zip(finite, self.choices, strict=True))

    def whole_from(self, level: int) -> bool:
        """Does everything match that has come as far as this level of the index?"""
        whole = self.low == 0 and self.high == NEVER_ENDS
        return whole and all(choice.whole for choice in self.choices[level:])


def boxes(condition: Condition) -> list[Box]:
    """A union of boxes that covers what the condition covers; they may overlap. Raises TooEntangled."""
    return _boxes(condition, True)


def _boxes(condition: Condition, wanted: bool) -> list[Box]:
    match condition:
        case Among():
            level = FINITE.index(condition.attribute)
            names = condition.values
            out = not wanted
            if condition.attribute in CLOSED and out:
                names = CLOSED[condition.attribute] - names
                out = False
            choice = Choice(names, out)
            row = tuple(choice if n == level else WHOLE for n in range(len(FINITE)))
            return [] if choice.empty else [Box(row)]
        case Between():
            if wanted:
                return [Box(low=condition.low, high=condition.high)] if condition.low < condition.high else []
            below = [Box(high=condition.low)] if condition.low > 0 else []
            return below + ([Box(low=condition.high)] if condition.high < NEVER_ENDS else [])
        case Not():
            return _boxes(condition.part, not wanted)
        case All() | Any():
            if isinstance(condition, All) is wanted:
                met = [Box()]
                for part in condition.parts:
                    theirs = _boxes(part, wanted)
                    met = _bounded([m for a in met for b in theirs if (m := a.meet(b)) is not None])
                return met
            return _bounded([box for part in condition.parts for box in _boxes(part, wanted)])


def _bounded(found: list[Box]) -> list[Box]:
    found = list(dict.fromkeys(found))
    if len(found) > MAX_BOXES:
        raise TooEntangled(f"more than {MAX_BOXES} separate cases")
    return found
