"""What a checked file means: plain values by kind and name, with the place of each."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from violetstack.language.source import Span
from violetstack.routing.conditions import ALWAYS
from violetstack.routing.generations import Plan
from violetstack.routing.policies import Policy
from violetstack.routing.pools import PoolSpec
from violetstack.routing.table import Route


@dataclass(slots=True)
class Definition:
    """One block: its settings' values in base units, and where each stands."""

    kind: str
    name: str
    span: Span
    values: dict[str, Any] = field(default_factory=dict)
    places: dict[str, Span] = field(default_factory=dict)

    def get(self, setting: str, default: Any = None) -> Any:
        return self.values.get(setting, default)

    def place(self, setting: str) -> Span:
        return self.places.get(setting, self.span)


Definitions = dict[str, dict[str, Definition]]


@dataclass
class Meaning:
    """Definitions by kind and name, in the order of the files; a block without a name has the name ''."""

    definitions: Definitions
    plan: Plan

    def of(self, kind: str) -> dict[str, Definition]:
        return self.definitions.get(kind, {})

    def one(self, kind: str, name: str = "") -> Definition | None:
        return self.of(kind).get(name)


def plan_of(definitions: Definitions, where: dict[str, str]) -> Plan:
    """Routes, pools and policies as the routing wants them. `where`: file:line of each route and pool."""

    def at(each: Definition) -> str:
        return where.get(f"{each.kind} {each.name}", "")

    routes = [
        Route(d.name, d.get("when", ALWAYS), d.get("pool", ""), d.get("policy", ""), at(d))
        for d in definitions.get("route", {}).values()
    ]
    pools = {
        d.name: PoolSpec(
            d.name, d.get("members", ALWAYS), d.get("least", 1), tuple(d.get("fallback", ())),
            d.get("return_after", 5_000.0), at(d),
        )
        for d in definitions.get("pool", {}).values()
    }  # fmt: skip
    policies = {
        d.name: Policy(
            d.name, d.get("deadline"), d.get("attempts"), d.get("retries"), d.get("retry_floor", 1.0),
            None if d.get("body") is None else int(d.get("body")), at(d),
        )
        for d in definitions.get("policy", {}).values()
    }  # fmt: skip
    labels = {
        d.name: frozenset(d.get("labels", ()))
        for d in definitions.get("host", {}).values()
        if d.get("labels")
    }
    return Plan(tuple(routes), pools, policies, labels)
