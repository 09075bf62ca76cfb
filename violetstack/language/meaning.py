"""What a checked file means: plain values by kind and name, with the place of each."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from violetstack.language.source import Span
from violetstack.load_shedding.levels import DemandLimit, LevelActions, LevelPlan, LevelSpec
from violetstack.routing.conditions import ALWAYS
from violetstack.routing.generations import RoutingPlan
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
    plan: RoutingPlan
    levels: LevelPlan

    def of(self, kind: str) -> dict[str, Definition]:
        return self.definitions.get(kind, {})

    def one(self, kind: str, name: str = "") -> Definition | None:
        return self.of(kind).get(name)


def plan_of(definitions: Definitions, where: dict[str, str]) -> RoutingPlan:
    """Routes, pools and policies as the routing wants them. `where`: file:line of each route and pool."""

    def at(each: Definition) -> str:
        return where.get(f"{each.kind} {each.name}", "")

    routes = [
        Route(d.name, d.get("when", ALWAYS), d.get("pool", ""), d.get("policy", ""), at(d))
        for d in definitions.get("route", {}).values()
    ]
    pools = {
        d.name: PoolSpec(
            d.name,
            d.get("members", ALWAYS),
            d.get("least", 1),
            tuple(d.get("fallback", ())),
            d.get("return_after", 5_000.0),
            at(d),
        )
        for d in definitions.get("pool", {}).values()
    }
    policies = {
        d.name: Policy(
            d.name,
            d.get("deadline"),
            d.get("attempts"),
            d.get("retries"),
            d.get("retry_floor", 1.0),
            None if d.get("body") is None else int(d.get("body")),
            at(d),
        )
        for d in definitions.get("policy", {}).values()
    }
    labels = {
        d.name: frozenset(d.get("labels", ()))
        for d in definitions.get("host", {}).values()
        if d.get("labels")
    }
    return RoutingPlan(tuple(routes), pools, policies, labels)


def levels_of(definitions: Definitions, where: dict[str, str]) -> LevelPlan:
    """Levels in the order of the file, each with its actions."""
    limits: dict[str, list[DemandLimit]] = {}
    for d in definitions.get("measure", {}).values():
        limits.setdefault(d.get("level"), []).append(
            DemandLimit(d.get("class", ""), d.get("tenant", ""), d.get("admit"))
        )
    specs = [
        LevelSpec(
            d.name,
            d.get("enter"),
            d.get("leave"),
            d.get("enter_after", 2_000.0),
            d.get("leave_after", 10_000.0),
            d.get("stay", 15_000.0),
            LevelActions(
                admitted_share=d.get("admit"),
                min_class_weight=d.get("worth", 0.0),
                enforce_quotas=d.get("within_share", False),
                max_prompt_tokens=None if d.get("prompt") is None else int(d.get("prompt")),
                retry_share=d.get("retries"),
                reserve_ahead=d.get("hold_ahead", True),
                retry_after_ms=d.get("retry_after", 1_000.0),
                demand_limits=tuple(limits.get(d.name, ())),
            ),
            where.get(f"level {d.name}", ""),
        )
        for d in definitions.get("level", {}).values()
    ]
    told = definitions.get("levels", {}).get("") or Definition("levels", "", Span("", 0, 0))
    return LevelPlan(
        tuple(specs),
        told.get("most_changes", 6),
        told.get("journal", ""),
        told.get("remember", 60_000.0) / 1000.0,
        told.get("admin", ""),
        told.get("pin", ""),
        told.get("pin_for", 3_600_000.0),
    )
