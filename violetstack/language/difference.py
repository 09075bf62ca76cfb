"""What two files differ in by their meaning: not by spacing, constants, includes or the spelling of units.

Definitions are compared setting by setting, an absent one by its default. Routes are compared by the
requests that they take, found from the two indexes; a condition written otherwise that takes the same
requests is no change.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from functools import cache
from itertools import product
from typing import Any

from violetstack.language.checker import Known, universe
from violetstack.language.meaning import Meaning
from violetstack.language.schema import BLOCKS, Field, Form, shown
from violetstack.language.source import Source
from violetstack.language.syntax import Setting, parse
from violetstack.language.units import DURATION, RATE, SHARE, SIZE, TOKENS, Dimension, canonical, number
from violetstack.language.values import Constants, Typer
from violetstack.load_shedding.signal_conditions import Conjunction, Disjunction, Threshold, describe
from violetstack.routing.conditions import (
    HOST_ATTRIBUTES,
    AllOf,
    AnyOf,
    Condition,
    Not,
    OneOf,
    format_condition,
    holds,
)
from violetstack.routing.regions import RoutingChange, routing_changes
from violetstack.routing.table import RequestAttributes, Route, Table

MAX_CASES = 20_000  # host attributes tried one by one; past it conditions compare as they are written
SECRET = frozenset({"secret", "sha256", "bearer"})  # shown as changed, never shown


@dataclass(frozen=True, slots=True)
class Difference:
    """One line: `what` was added, removed or changed."""

    what: str
    detail: str = ""

    def __str__(self) -> str:
        return f"{self.what}: {self.detail}" if self.detail else self.what


def difference(old: Meaning, new: Meaning, known: Known | None = None) -> list[Difference]:
    """Definitions first, in the schema's order, then the requests that go elsewhere."""
    found: list[Difference] = []
    for kind in BLOCKS:
        if kind == "route":
            continue
        before = old.of(kind)
        after = new.of(kind)
        for name in dict.fromkeys([*before, *after]):
            told = f"{kind} {name}".strip()
            if name not in after:
                found.append(Difference(told, "removed"))
            elif name not in before:
                found.append(Difference(told, "added"))
            else:
                found.extend(_settings(kind, told, before[name].values, after[name].values))
    found.extend(Difference("requests", _moved(each)) for each in rerouted(old, new, known))
    return found


def rerouted(old: Meaning, new: Meaning, known: Known | None = None) -> list[RoutingChange]:
    return routing_changes(*tables(old, new, known))


def tables(old: Meaning, new: Meaning, known: Known | None = None) -> tuple[Table, Table]:
    return (
        Table(old.plan.routes, universe(old.definitions, known or {})),
        Table(new.plan.routes, universe(new.definitions, known or {})),
    )


def _moved(each: RoutingChange) -> str:
    return f"{each.condition}: {target(each.old)} -> {target(each.new)}"


def target(route: Route | None) -> str:
    if route is None:
        return "no route"
    policy = f", policy {route.policy}" if route.policy else ""
    return f"route {route.name} (pool {route.pool or 'of all'}{policy})"


def _settings(
    kind: str, told: str, before: Mapping[str, Any], after: Mapping[str, Any]
) -> Iterable[Difference]:
    for spec in BLOCKS[kind].fields:
        default = default_of(spec)
        a = before.get(spec.name, default)
        b = after.get(spec.name, default)
        if a == b or (spec.form is Form.HOSTS and same_hosts(a, b)):
            continue
        if spec.name in SECRET:
            yield Difference(f"{told}, {spec.name}", "changed")
        else:
            yield Difference(f"{told}, {spec.name}", f"{written(spec, a)} -> {written(spec, b)}")


@cache
def default_of(spec: Field) -> Any:
    """The default's value; None where there is none."""
    if not spec.default or spec.required:
        return AllOf() if spec.form in (Form.HOSTS, Form.REQUESTS) else None
    tree = parse(Source("default", f"{spec.name} = {spec.default}"))
    setting = tree.items[0]
    assert isinstance(setting, Setting)
    typer = Typer(Constants(), lambda kind, name, at: None, lambda span: "")
    return typer.read(spec, setting.value)


BASES = {DURATION: "ms", SIZE: "B", TOKENS: "tok", RATE: "req/s", SHARE: "%"}


def written(spec: Field, value: Any) -> str:
    """A value as the layout would write it."""
    if value is None:
        return "none"
    if isinstance(value, OneOf | AllOf | AnyOf | Not):
        return format_condition(value)
    if isinstance(value, Threshold | Conjunction | Disjunction):
        return describe(value)
    if isinstance(spec.form, Dimension):
        scaled = value * 100 if spec.form is SHARE else value
        told = number(f"{scaled:.9f}".rstrip("0").rstrip("."))
        return shown(spec, value) if told is None else canonical(told, BASES[spec.form])
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return f"[{', '.join(value)}]"
    return f"{value:g}" if isinstance(value, float) else str(value)


def same_hosts(a: Condition, b: Condition) -> bool:
    """Do both choose the same hosts, whatever the hosts are?"""
    if a == b:
        return True
    names: dict[str, set[str]] = {attribute: set() for attribute in HOST_ATTRIBUTES}
    for condition in (a, b):
        _mentioned(condition, names)
    labels = sorted(names.pop("label"))
    rows = [[*sorted(values), ""] for values in names.values()]
    cases = 2 ** len(labels)
    for row in rows:
        cases *= len(row)
    if cases > MAX_CASES:
        return False
    sets = [
        frozenset(label for label, on in zip(labels, bits, strict=True) if on)
        for bits in product((0, 1), repeat=len(labels))
    ]
    for values in product(*rows):
        told: dict[str, Any] = dict(zip(names, values, strict=True))
        for label in sets:
            if holds(a, {**told, "label": label}) != holds(b, {**told, "label": label}):
                return False
    return True


def _mentioned(condition: Condition, names: dict[str, set[str]]) -> None:
    match condition:
        case OneOf():
            names[condition.attribute].update(condition.values)
        case Not():
            _mentioned(condition.part, names)
        case AllOf() | AnyOf():
            for part in condition.parts:
                _mentioned(part, names)


def replayed(lines: Iterable[bytes], old: Table, new: Table) -> tuple[Counter[tuple[str, str]], int, int]:
    """Our own request lines under both tables: counts by from and to, of how many, and lines left out."""
    found: Counter[tuple[str, str]] = Counter()
    total = skipped = 0
    for line in lines:
        attributes = attributes_of(line)
        if attributes is None:
            skipped += line.strip() != b""
            continue
        total += 1
        a = target(old.find(attributes))
        b = target(new.find(attributes))
        if a != b:
            found[a, b] += 1
    return found, total, skipped


def attributes_of(line: bytes) -> RequestAttributes | None:
    """What a `request` line tells of a request; None for any other line."""
    try:
        told = json.loads(line)
    except ValueError:
        return None
    if not isinstance(told, dict) or told.get("event") != "request" or "class" not in told:
        return None
    names = [told.get(name, "") for name in ("class", "tenant", "model", "front")]
    cls, tenant, model, front = names
    prompt = told.get("prompt", 0)
    if not all(isinstance(name, str) for name in names) or not isinstance(prompt, int):
        return None
    return RequestAttributes(cls, tenant, model, front, prompt, bool(told.get("retry", False)))
