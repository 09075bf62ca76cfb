"""Values with types: what stands on the right of a setting, as its schema wants it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from decimal import Decimal
from typing import Any

from violetstack.language.schema import Field, Form, shown
from violetstack.language.source import Broken, Problem, Span, nearest
from violetstack.language.syntax import (
    Comparison,
    Constant,
    Group,
    Junction,
    Name,
    Negation,
    Quantity,
    Range,
    Sequence,
    String,
    Value,
)
from violetstack.language.units import (
    DURATION,
    SHARE,
    TOKENS,
    UNITS,
    Dimension,
    base,
    number,
    plain,
    unit_fix,
)
from violetstack.load_shedding.signal_conditions import (
    SIGNALS,
    Conjunction,
    Disjunction,
    SignalCondition,
    Threshold,
    negate,
)
from violetstack.routing.conditions import (
    HOST_ATTRIBUTES,
    REQUEST_ATTRIBUTES,
    UNBOUNDED,
    YES,
    AllOf,
    AnyOf,
    Condition,
    InRange,
    Not,
    OneOf,
)

PROMPT = Field("prompt", TOKENS, "length of a request's prompt")


@dataclass
class Constants:
    """Defined names, and which of them were used."""

    values: dict[str, tuple[Value, Span]] = field(default_factory=dict)
    used: set[str] = field(default_factory=set)

    def resolve(self, value: Value) -> Value:
        seen: list[str] = []
        while isinstance(value, Constant | Group):
            if isinstance(value, Group):
                value = value.inner
                continue
            self.used.add(value.text)
            if value.text not in self.values:
                fix = nearest(value.text, list(self.values))
                raise Broken(Problem(f"no constant named ${value.text}", value.span, fix))
            if value.text in seen:
                ring = " -> ".join(f"${name}" for name in [*seen, value.text])
                raise Broken(Problem(f"the constant is defined by itself: {ring}", value.span))
            seen.append(value.text)
            value = self.values[value.text][0]
        return value


def kind_of(value: Value) -> str:
    """In words, for a message."""
    match value:
        case Quantity():
            return f"{value.number}{' ' if '/' in value.unit else ''}{value.unit}"
        case Name():
            return f"the name {value.text!r}"
        case String():
            return f'the text "{value.text[:30]}"'
        case Sequence():
            return "a set" if value.is_set else "a list"
        case Range():
            return "a range"
        case _:
            return "a condition"


class Typer:
    """Reads values by their fields. `refer` is told each name that a value refers to."""

    def __init__(
        self, constants: Constants, refer: Callable[[str, str, Span], None], where: Callable[[Span], str]
    ) -> None:
        self.constants = constants
        self.refer = refer
        self.where = where

    def read(self, spec: Field, value: Value) -> Any:
        """In the field's base: a duration in milliseconds, a size in bytes. Raises Broken."""
        told = self.constants.resolve(value)
        at = value.span
        form = spec.form
        if isinstance(form, Dimension):
            return self._ranged(spec, self._quantity(spec, form, told, at), at)
        match form:
            case Form.COUNT | Form.NUMBER:
                return self._ranged(spec, self._number(spec, told, at), at)
            case Form.TEXT | Form.FILE:
                return self._text(spec, told, at)
            case Form.ADDRESS:
                return self._address(spec, told, at)
            case Form.SWITCH:
                return self._word(spec, told, at, ("true", "false")) == "true"
            case Form.WORD:
                return self._word(spec, told, at, spec.words)
            case Form.REFERENCE:
                return self._reference(spec, told, at)
            case Form.REFERENCES:
                return [
                    self._reference(spec, self.constants.resolve(v), v.span)
                    for v in self._list(spec, told, at)
                ]
            case Form.TEXTS:
                return [
                    self._plain(spec, self.constants.resolve(v), v.span) for v in self._list(spec, told, at)
                ]
            case Form.REQUESTS:
                return self.condition(told, REQUEST_ATTRIBUTES)
            case Form.HOSTS:
                return self.condition(told, HOST_ATTRIBUTES)
            case Form.SIGNALS:
                return self.rule(told)

    def _ranged(self, spec: Field, value: float, at: Span) -> float:
        low = spec.low is not None and value < spec.low
        if low or (spec.high is not None and value > spec.high):
            bound = (
                f"at least {shown(spec, spec.low or 0)}" if low else f"at most {shown(spec, spec.high or 0)}"
            )
            raise Broken(Problem(f"{spec.name} is {bound}", at))
        return value

    def _quantity(self, spec: Field, wanted: Dimension, told: Value, at: Span) -> float:
        if not isinstance(told, Quantity):
            raise Broken(
                Problem(
                    f"{spec.name} is a {wanted.name}, not {kind_of(told)}", at, f"such as {wanted.example}"
                )
            )
        value = self._decimal(told, at)
        if not told.unit:
            guess = f"{told.number}{self._likely_unit(spec, wanted)}"
            fix = f"write the unit: {guess}?"
            raise Broken(Problem(f"{spec.name} is a {wanted.name} and needs a unit", at, fix))
        if told.unit not in UNITS:
            meant = unit_fix(told.unit, wanted)
            fix = (
                f"{told.number}{' ' if '/' in meant else ''}{meant}?"
                if meant
                else f"one of {', '.join(wanted.units)}"
            )
            raise Broken(Problem(f"{told.unit!r} is not a unit", at, fix))
        found = UNITS[told.unit]
        if found is not wanted:
            fix = f"write it in {', '.join(wanted.units)}, such as {wanted.example}"
            raise Broken(
                Problem(f"{spec.name} is a {wanted.name}; {kind_of(told)} is a {found.name}", at, fix)
            )
        result = float(base(value, told.unit))
        if wanted.name in ("token count", "size") and result != int(result):
            raise Broken(Problem(f"{kind_of(told)} is no whole number of {wanted.shown[0]}", at))
        return result

    def _likely_unit(self, spec: Field, wanted: Dimension) -> str:
        """The default's, where there is one."""
        unit = spec.default.lstrip("0123456789. ") if spec.default[:1].isdigit() else ""
        usual = {"duration": "ms", "size": "KiB", "token count": "tok", "rate": "req/s", "share": "%"}
        unit = unit or usual[wanted.name]
        return f" {unit}" if "/" in unit else unit

    def _decimal(self, told: Quantity, at: Span) -> Decimal:
        value = number(told.number)
        if value is None:
            raise Broken(Problem(f"{told.number[:30]} is too large a number", at))
        return value

    def _number(self, spec: Field, told: Value, at: Span) -> float:
        if not isinstance(told, Quantity):
            raise Broken(Problem(f"{spec.name} is a {spec.told}, not {kind_of(told)}", at))
        if told.unit:
            raise Broken(Problem(f"{spec.name} has no unit", at, f"{told.number}?"))
        value = self._decimal(told, at)
        if spec.form is Form.COUNT and value != value.to_integral_value():
            raise Broken(Problem(f"{spec.name} is a whole number", at))
        return int(value) if spec.form is Form.COUNT else float(value)

    def _text(self, spec: Field, told: Value, at: Span) -> str:
        if isinstance(told, String):
            if not told.text:
                raise Broken(Problem(f"{spec.name} is empty", at))
            return told.text
        fix = f'"{told.text}"?' if isinstance(told, Name) else ""
        raise Broken(Problem(f"{spec.name} is a text in quotes, not {kind_of(told)}", at, fix))

    def _plain(self, spec: Field, told: Value, at: Span) -> str:
        if isinstance(told, String | Name):
            return told.text
        raise Broken(Problem(f"{spec.name} is a list of texts, and {kind_of(told)} is none", at))

    def _address(self, spec: Field, told: Value, at: Span) -> str:
        text = self._text(spec, told, at)
        host, _, port = text.rpartition(":")
        if not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
            fix = f'"{text}:8080"?' if ":" not in text else ""
            raise Broken(Problem(f'{spec.name} is HOST:PORT, not "{text[:60]}"', at, fix))
        return text

    def _word(self, spec: Field, told: Value, at: Span, words: tuple[str, ...]) -> str:
        text = told.text if isinstance(told, Name | String) else ""
        if isinstance(told, Name) and text in words:
            return text
        listed = ", ".join(words)
        fix = f"{text}?" if text in words else nearest(text, list(words))
        raise Broken(Problem(f"{spec.name} is one of {listed}, not {kind_of(told)}", at, fix))

    def _reference(self, spec: Field, told: Value, at: Span) -> str:
        if not isinstance(told, Name | String):
            raise Broken(Problem(f"{spec.name} is the name of a {spec.to}, not {kind_of(told)}", at))
        self.refer(spec.to, told.text, at)
        return told.text

    def _list(self, spec: Field, told: Value, at: Span) -> list[Value]:
        if isinstance(told, Sequence) and not told.is_set:
            return told.parts
        fix = f"[{told.text}]?" if isinstance(told, Name | String) else "write [a, b]"
        raise Broken(Problem(f"{spec.name} is a list in brackets, not {kind_of(told)}", at, fix))

    # --- conditions ---

    def condition(self, value: Value, attributes: tuple[str, ...]) -> Condition:
        told = self.constants.resolve(value)
        match told:
            case Junction():
                parts = tuple(self.condition(part, attributes) for part in told.parts)
                return AllOf(parts) if told.word == "and" else AnyOf(parts)
            case Negation():
                return Not(self.condition(told.part, attributes))
            case Comparison():
                return self._relation(told, attributes)
            case Name(text="all"):
                return AllOf()
            case Name(text="retry") if "retry" in attributes:
                return OneOf("retry", frozenset({YES}), self.where(told.span))
            case Name():
                if told.text in attributes:
                    fix = f"write '{told.text} == ...'"
                    raise Broken(Problem(f"{told.text!r} alone is no condition", value.span, fix))
                fix = nearest(told.text, [*attributes, "all"])
                raise Broken(Problem(f"{told.text!r} is no condition", value.span, fix))
            case _:
                raise Broken(Problem(f"a condition is wanted here, not {kind_of(told)}", value.span))

    def _relation(self, told: Comparison, attributes: tuple[str, ...]) -> Condition:
        left = told.left
        if not isinstance(left, Name) or left.text not in attributes:
            text = left.text if isinstance(left, Name) else kind_of(left)
            fix = nearest(text, list(attributes)) or f"one of {', '.join(attributes)}"
            raise Broken(Problem(f"{text!r} is nothing that a condition can ask for", left.span, fix))
        attribute = left.text
        where = self.where(told.span)
        if attribute == "prompt":
            return self._interval(told, where)
        if attribute == "retry":
            raise Broken(
                Problem("'retry' holds or not; it compares with nothing", told.span, "retry? not retry?")
            )
        return self._membership(attribute, told, where)

    def _membership(self, attribute: str, told: Comparison, where: str) -> Condition:
        right = self.constants.resolve(told.right)
        if told.operator in ("==", "!="):
            parts: list[Value] = [told.right]
        elif told.operator == "in":
            if not isinstance(right, Sequence):
                text = f"{{{right.text}}}?" if isinstance(right, Name | String) else "write {a, b}"
                raise Broken(Problem("'in' wants a set in braces", told.right.span, text))
            parts = right.parts
        else:
            fix = f"{attribute} == ...?"
            raise Broken(
                Problem(f"{attribute} has no order; {told.operator!r} is for prompt", told.span, fix)
            )
        if not parts:
            raise Broken(Problem("the set is empty, so this never holds", told.right.span))
        names = set()
        for part in parts:
            each = self.constants.resolve(part)
            if isinstance(each, Quantity) and attribute == "cell" and not each.unit and each.number.isdigit():
                names.add(str(int(each.number)))
            elif isinstance(each, Name | String):
                self.refer(attribute, each.text, part.span)
                names.add(each.text)
            else:
                raise Broken(Problem(f"{attribute} is compared with names, not {kind_of(each)}", part.span))
        found: Condition = OneOf(attribute, frozenset(names), where)
        return Not(found) if told.operator == "!=" else found

    # --- conditions on signals ---

    def rule(self, value: Value) -> SignalCondition:
        told = self.constants.resolve(value)
        match told:
            case Junction():
                parts = tuple(self.rule(part) for part in told.parts)
                return Conjunction(parts) if told.word == "and" else Disjunction(parts)
            case Negation():
                return negate(self.rule(told.part))
            case Comparison():
                return self._crossing(told)
            case _:
                wanted = "a signal against a bound is wanted here"
                raise Broken(Problem(f"{wanted}, not {kind_of(told)}", value.span, "lateness >= 150%?"))

    def _crossing(self, told: Comparison) -> Threshold:
        left = told.left
        name = left.text if isinstance(left, Name) else kind_of(left)
        if name not in SIGNALS:
            fix = nearest(name, list(SIGNALS)) or f"one of {', '.join(SIGNALS)}"
            raise Broken(Problem(f"there is no signal {name!r}", left.span, fix))
        if told.operator not in ("<", ">="):
            fix = ">=" if told.operator == ">" else "<" if told.operator == "<=" else "< or >="
            message = f"a signal is below a bound (<) or at it (>=), not {told.operator!r}"
            raise Broken(Problem(message, told.span, fix))
        wanted = {"share": SHARE, "duration": DURATION}[SIGNALS[name]]
        bound = self._quantity(
            Field(name, wanted, ""), wanted, self.constants.resolve(told.right), told.right.span
        )
        return Threshold(name, told.operator == ">=", bound, self.where(told.span))

    def _tokens(self, value: Value) -> int:
        return int(self._quantity(PROMPT, TOKENS, self.constants.resolve(value), value.span))

    def _interval(self, told: Comparison, where: str) -> Condition:
        right = self.constants.resolve(told.right)
        if isinstance(right, Range):
            if told.operator != "in":
                raise Broken(Problem("a range goes with 'in'", told.right.span, "prompt in ... .. ...?"))
            low = self._tokens(right.low)
            high = self._tokens(right.high)
            if low >= high:
                fix = "the range holds its first value and not its last"
                raise Broken(Problem("the range is empty", told.right.span, fix))
            return InRange("prompt", low, high, where)
        if told.operator == "in":
            raise Broken(Problem("prompt is in a range", told.right.span, "prompt in 1ktok .. 8ktok?"))
        at = self._tokens(told.right)
        if at < 0:
            raise Broken(Problem("a prompt has at least 0 tokens", told.right.span))
        match told.operator:
            case "<":
                found: Condition = InRange("prompt", 0, at, where)
            case "<=":
                found = InRange("prompt", 0, at + 1, where)
            case ">":
                found = InRange("prompt", at + 1, UNBOUNDED, where)
            case ">=":
                found = InRange("prompt", at, UNBOUNDED, where)
            case "==":
                found = InRange("prompt", at, at + 1, where)
            case _:
                found = Not(InRange("prompt", at, at + 1, where))
        return found


def plain_quantity(value: Quantity) -> str:
    told = number(value.number)
    return value.number if told is None else plain(told)
