"""From a reading to its meaning, or to every problem it has.

Three passes: constants and blocks are collected, values are read by the schema, and what belongs together
is compared. A later pass works on what the earlier ones could read, so that one wrong value hides nothing
else. Where the file declares no class, tenant, kind or zone, the names come from NODE_CONFIG's settings at
the start (`known`); until then any name is taken for right.
"""

from __future__ import annotations

import re
import stat
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

from violetstack.language.files import Reading
from violetstack.language.meaning import Definition, Definitions, Meaning, levels_of, plan_of
from violetstack.language.schema import BLOCKS, BlockSpec
from violetstack.language.source import MAX_PROBLEMS, Broken, Problem, Sources, Span, nearest
from violetstack.language.syntax import Block, Const, Item, Setting
from violetstack.language.values import Constants, Typer
from violetstack.load_shedding.errors import TooManyRegionsError
from violetstack.load_shedding.levels import NORMAL, LevelActions
from violetstack.load_shedding.signal_conditions import SignalCondition, overlap, regions
from violetstack.routing.conditions import (
    ALWAYS,
    AllOf,
    AnyOf,
    Box,
    Condition,
    Not,
    OneOf,
    TooManyBoxesError,
    to_boxes,
)
from violetstack.routing.generations import RoutingPlan
from violetstack.routing.pools import fallback_cycle
from violetstack.routing.regions import Partition
from violetstack.routing.table import Table

Known = Mapping[str, frozenset[str]]
OPEN_KINDS = ("class", "tenant", "kind", "zone")  # may be told by NODE_CONFIG instead
MAX_SUM = 1.0 + 1e-9


@dataclass
class Checked:
    """`meaning` is None where there are errors."""

    problems: list[Problem]
    meaning: Meaning | None
    sources: Sources

    @property
    def errors(self) -> list[Problem]:
        return [p for p in self.problems if not p.warning]


@dataclass
class _Run:
    reading: Reading
    known: Known
    problems: list[Problem] = field(default_factory=list)
    constants: Constants = field(default_factory=Constants)
    definitions: Definitions = field(default_factory=dict)
    references: list[tuple[str, str, Span]] = field(default_factory=list)
    complete: bool = True

    def wrong(self, message: str, span: Span, fix: str = "", *also: tuple[str, Span]) -> None:
        self.problems.append(Problem(message, span, fix, also))

    @property
    def sound(self) -> bool:
        """No error so far; what looks unused may else be named where it could not be read."""
        return self.complete and all(p.warning for p in self.problems)

    def doubt(self, message: str, span: Span, fix: str = "", *also: tuple[str, Span]) -> None:
        self.problems.append(Problem(message, span, fix, also, warning=True))

    def of(self, kind: str) -> dict[str, Definition]:
        return self.definitions.get(kind, {})


def check(reading: Reading, known: Known | None = None) -> Checked:
    """All problems of a reading, in the order of their places; at most MAX_PROBLEMS."""
    run = _Run(reading, known or {}, list(reading.problems), complete=not reading.problems)
    _constants(run)
    blocks = _blocks(run)
    typer = Typer(
        run.constants, lambda kind, name, at: run.references.append((kind, name, at)), reading.sources.where
    )
    for definition, block in blocks:
        _settings(run, typer, definition, block)
    _references(run)
    _together(run)
    _unused_constants(run)
    order = {name: n for n, name in enumerate(reading.sources.files)}
    run.problems.sort(key=lambda p: (order[p.span.file], p.span.start, p.warning))
    if any(not p.warning for p in run.problems):
        return Checked(run.problems[:MAX_PROBLEMS], None, reading.sources)
    meaning = Meaning(run.definitions, _plan(run), levels_of(run.definitions, _places(run)))
    return Checked(run.problems[:MAX_PROBLEMS], meaning, reading.sources)


def _plan(run: _Run) -> RoutingPlan:
    return plan_of(run.definitions, _places(run))


def _places(run: _Run) -> dict[str, str]:
    return {
        f"{d.kind} {d.name}": run.reading.sources.where(d.span)
        for kind in ("route", "pool", "policy", "level")
        for d in run.of(kind).values()
    }


# --- first pass: what there is ---


def _constants(run: _Run) -> None:
    for item in run.reading.items:
        if not isinstance(item, Const):
            continue
        name = item.name.text
        if name in run.constants.values:
            first = run.constants.values[name][1]
            run.wrong(
                f"the constant ${name} is defined twice", item.name.span, "rename one", ("first here", first)
            )
            continue
        run.constants.values[name] = (item.value, item.name.span)


def _blocks(run: _Run) -> list[tuple[Definition, Block]]:
    found: list[tuple[Definition, Block]] = []
    for item in run.reading.items:
        if isinstance(item, Block):
            definition = _block(run, item)
            if definition is not None:
                found.append((definition, item))
        elif isinstance(item, Setting):
            owners = [spec.kind for spec in BLOCKS.values() if item.name.text in spec.by_name]
            fix = f"{item.name.text} belongs into: {', '.join(owners)}" if owners else ""
            run.wrong(f"the setting {item.name.text!r} stands in no block", item.name.span, fix)
    return found


def _block(run: _Run, block: Block) -> Definition | None:
    kind = block.kind.text
    spec = BLOCKS.get(kind)
    if spec is None:
        run.wrong(f"there is no {kind!r}", block.kind.span, nearest(kind, list(BLOCKS)))
        run.complete = False
        return None
    name = block.label.text if block.label is not None else ""
    if spec.labelled and not name:
        example = spec.labels[0] if spec.labels else "NAME"
        run.wrong(f"a {kind} needs a name", block.kind.span, f"{kind} {example} {{ ... }}")
        return None
    if not spec.labelled and block.label is not None:
        run.wrong(f"{kind} has no name; there is one", block.label.span, f"{kind} {{ ... }}")
        return None
    if spec.labels and name not in spec.labels and block.label is not None:
        fix = nearest(name, list(spec.labels)) or f"one of {', '.join(spec.labels)}"
        run.wrong(f"there is no {kind} {name!r}", block.label.span, fix)
        return None
    span = block.label.span if block.label is not None else block.kind.span
    rows = run.definitions.setdefault(kind, {})
    if name in rows:
        told = f"the {kind} {name!r}" if name else kind
        fix = "rename one, or remove it" if name else "put both into one"
        run.wrong(f"{told} is defined twice", span, fix, ("first here", rows[name].span))
        return None
    rows[name] = Definition(kind, name, span)
    return rows[name]


# --- second pass: values ---


def _settings(run: _Run, typer: Typer, definition: Definition, block: Block) -> None:
    spec = BLOCKS[definition.kind]
    meant: set[str] = set()  # by settings that are only misspelt
    for item in block.items:
        if not isinstance(item, Setting):
            _misplaced(run, spec, item)
            continue
        name = item.name.text
        wanted = spec.by_name.get(name)
        if wanted is None:
            known = list(spec.by_name)
            fix = nearest(name, known) or (
                f"it has {', '.join(known)}" if known else f"a {spec.kind} has none"
            )
            meant.update(each for each in known if f"{each!r}" in fix)
            run.wrong(f"{spec.kind} has no setting {name!r}", item.name.span, fix)
            continue
        if name in definition.places:
            first = definition.places[name]
            run.wrong(f"{name!r} is set twice", item.name.span, "remove one", ("first here", first))
            continue
        definition.places[name] = item.value.span
        try:
            definition.values[name] = typer.read(wanted, item.value)
        except Broken as error:
            run.problems.append(error.problem)
    for each in spec.fields:
        if each.required and each.name not in definition.places and each.name not in meant:
            told = f"{spec.kind} {definition.name!r}" if definition.name else spec.kind
            run.wrong(f"{told} has no {each.name!r}", definition.span, f"{each.name} = ... ({each.told})")


def _misplaced(run: _Run, spec: BlockSpec, item: Item) -> None:
    if isinstance(item, Const):
        run.wrong("a constant can't stand in a block", item.span, "move it to the first level of the file")
    elif isinstance(item, Block):
        kind = item.kind.text
        fix = f"close {spec.kind} with '}}' before it" if kind in BLOCKS else f"write '{kind} = ...'"
        run.wrong(f"{spec.kind} holds settings, no block {kind!r}", item.kind.span, fix)


def _references(run: _Run) -> None:
    for kind, name, at in run.references:
        declared = run.of(kind)
        known = run.known.get(kind, frozenset())
        if kind not in BLOCKS and kind not in ("front",):
            continue  # cells, labels and hosts of the list: known only when they come
        if kind == "front":
            if name not in ("platform", "chat"):
                run.wrong(
                    f"there is no front {name!r}",
                    at,
                    nearest(name, ["platform", "chat"]) or "platform? chat?",
                )
            continue
        if kind == "host" or name in declared or name in known or (kind, name) == ("kind", "openai"):
            continue
        if kind in OPEN_KINDS and not declared and not known:
            continue
        if kind == "model" and not declared:
            continue
        if not run.complete and _in_the_broken_part(run, kind, name):
            continue
        fix = nearest(name, [*declared, *known]) or f"define it: {kind} {name} {{ ... }}"
        run.wrong(f"there is no {kind} {name!r}", at, fix)


def _in_the_broken_part(run: _Run, kind: str, name: str) -> bool:
    """A definition that could not be read is a problem of its own, not that of all who name it."""
    pattern = re.compile(rf'\b{kind}[ \t]+"?{re.escape(name)}(?![\w.-])')
    return any(pattern.search(source.text) for source in run.reading.sources.files.values())


# --- third pass: what belongs together ---


def _together(run: _Run) -> None:
    _classes(run)
    _shares(run)
    _keys(run)
    _hosts(run)
    if run.of("acme") and not run.of("tls"):
        run.wrong(
            "acme needs the two files of tls", run.of("acme")[""].span, "tls { certificate = ... key = ... }"
        )
    chat = run.of("listen").get("chat")
    if chat is not None and run.complete:
        lacks = [kind for kind in ("model", "key") if not run.of(kind)]
        if lacks:
            message = f"the chat front has no {' and no '.join(lacks)}, so nobody can ask anything"
            run.doubt(message, chat.span, f"{lacks[0]} NAME {{ ... }}")
    _pools(run)
    _routes(run)
    _levels(run)


def _classes(run: _Run) -> None:
    for each in run.of("class").values():
        aim = each.get("aim")
        give_up = each.get("give_up")
        if aim is not None and give_up is not None and give_up < aim:
            run.wrong(
                "give_up comes before aim", each.place("give_up"), "", ("aim is set here", each.place("aim"))
            )
        if each.get("effect") != "keyed":
            for name in ("group", "window"):
                if name in each.places:
                    run.doubt(
                        f"{name} means something only with effect = keyed", each.place(name), "remove it"
                    )
    fleet = run.of("fleet").get("")
    if fleet is not None and fleet.get("number", 0) >= fleet.get("dispatchers", 1):
        run.wrong(
            "number counts from 0 and is below dispatchers",
            fleet.place("number"),
            "",
            ("dispatchers", fleet.place("dispatchers")),
        )


def _shares(run: _Run) -> None:
    total = 0.0
    rows = [each for each in run.of("tenant").values() if each.get("share") is not None]
    for each in rows:
        total += each.get("share")
        if total > MAX_SUM:
            others = tuple(
                (f"{r.name} has {r.get('share') * 100:g}%", r.place("share")) for r in rows if r is not each
            )
            message = f"the tenants' shares add up to {sum(r.get('share') for r in rows) * 100:g}%"
            run.wrong(message, each.place("share"), "together they are at most 100%", *others[:5])
            return


def _keys(run: _Run) -> None:
    seen: dict[str, Definition] = {}
    for each in run.of("key").values():
        hashed = each.get("sha256")
        secret = each.get("secret")
        if "sha256" in each.places and "secret" in each.places:
            run.wrong("a key has sha256 or secret, not both", each.place("secret"), "remove one")
        elif "sha256" not in each.places and "secret" not in each.places:
            run.wrong(f"key {each.name!r} has no 'sha256'", each.span, "sha256 = ... (text)")
        if hashed is not None:
            hashed = hashed.lower()
            if len(hashed) != 64 or any(c not in "0123456789abcdef" for c in hashed):
                fix = "printf %s SECRET | sha256sum"
                run.wrong("sha256 is 64 hexadecimal digits", each.place("sha256"), fix)
                continue
        elif secret is not None:
            hashed = sha256(secret.encode()).hexdigest()
            _readable(run, each, hashed)
        if hashed is None:
            continue
        if hashed in seen:
            place = each.place("sha256" if "sha256" in each.places else "secret")
            run.wrong(
                f"keys {seen[hashed].name!r} and {each.name!r} are the same",
                place,
                "remove one",
                ("first here", seen[hashed].span),
            )
        seen.setdefault(hashed, each)


def _readable(run: _Run, each: Definition, hashed: str) -> None:
    path = run.reading.paths[each.span.file]
    try:
        mode = path.stat().st_mode
    except OSError:
        return
    if mode & (stat.S_IRGRP | stat.S_IROTH):
        run.doubt(
            "a secret in clear text, in a file that others can read",
            each.place("secret"),
            f'chmod 600 the file, or write sha256 = "{hashed}"',
        )


def _hosts(run: _Run) -> None:
    seen: dict[str, Definition] = {}
    for kind in ("listen", "host"):
        for each in run.of(kind).values():
            address = each.get("address")
            if address is None or address.endswith(":0"):
                continue
            if address in seen:
                other = seen[address]
                message = f"{kind} {each.name!r} has the address of {other.kind} {other.name!r}"
                run.wrong(message, each.place("address"), "", ("also here", other.place("address")))
            seen.setdefault(address, each)


def _pools(run: _Run) -> None:
    if not run.complete:
        return
    plan = _plan(run)
    told: set[str] = set()
    for name, each in run.of("pool").items():
        ring = fallback_cycle(plan.pools, name)
        if ring is not None and not told.intersection(ring):
            told.update(ring)
            also = tuple((f"{n} falls back here", run.of("pool")[n].place("fallback")) for n in ring[1:-1])
            run.wrong(
                f"pools fall back in a circle: {' -> '.join(ring)}",
                each.place("fallback"),
                "end the chain at one of them",
                *also,
            )
    _served(run, plan)
    if not run.sound:
        return
    used = {route.pool for route in plan.routes}
    ahead = list(used)
    while ahead:
        for name in plan.pools[pool].fallback if (pool := ahead.pop()) in plan.pools else ():
            if name not in used:
                used.add(name)
                ahead.append(name)
    for name, each in run.of("pool").items():
        if name not in used:
            run.doubt(
                f"no route and no fallback uses the pool {name!r}", each.span, f"pool = {name} in a route?"
            )
    policies = {route.policy for route in plan.routes}
    for name, each in run.of("policy").items():
        if name not in policies:
            run.doubt(f"no route uses the policy {name!r}", each.span, f"policy = {name} in a route?")


def _served(run: _Run, plan: RoutingPlan) -> None:
    """Can every pool that a route names read and write, by the kinds and hosts that are declared?"""
    if not run.of("kind"):
        return
    listed = dict.fromkeys(run.of("host"), ("both", ""))
    for route in plan.routes:
        spec = plan.pools.get(route.pool)
        if spec is None:
            continue
        stages = {
            kind.get("stage")
            for kind in run.of("kind").values()
            if True in possible(spec.members, {"kind": kind.name})
        }
        for name in listed:
            told = run.of("host")[name]
            values = {"host": name, "kind": "openai", "cell": "0", "label": frozenset(told.get("labels", ()))}
            if True in possible(spec.members, values):
                stages.add("both")
        need = [
            word for word, stage in (("reader", "read"), ("writer", "write")) if not {stage, "both"} & stages
        ]
        if need:
            place = run.of("route")[route.name].place("pool")
            lacks = " and no ".join(need)
            message = f"the pool {route.pool!r} has no {lacks}, so no request of {route.name!r} can be served"
            members = run.of("pool")[route.pool].place("members")
            run.wrong(message, place, "take in a kind that does it", ("its members", members))


def possible(condition: Condition, values: Mapping[str, Any]) -> frozenset[bool]:
    """What the condition can come to if only these values are known."""
    match condition:
        case OneOf():
            if condition.attribute not in values:
                return frozenset({True, False})
            told = values[condition.attribute]
            mine = told if isinstance(told, frozenset) else frozenset({told})
            return frozenset({not mine.isdisjoint(condition.values)})
        case Not():
            return frozenset(not each for each in possible(condition.part, values))
        case AllOf() | AnyOf():
            stops = not isinstance(condition, AllOf)  # the value that one part alone decides by
            parts = [possible(part, values) for part in condition.parts]
            found = set()
            if any(stops in part for part in parts):
                found.add(stops)
            if all((not stops) in part for part in parts):
                found.add(not stops)
            return frozenset(found)
        case _:
            return frozenset({True, False})


def _routes(run: _Run) -> None:
    routes = run.of("route")
    if not routes:
        return
    found: list[list[Box]] = []
    for each in routes.values():
        when = each.get("when", ALWAYS)
        try:
            found.append(to_boxes(when))
            if not found[-1] and "when" in each.values:
                run.wrong(
                    f"no request can match the route {each.name!r}",
                    each.place("when"),
                    "its parts exclude each other",
                )
                each.values["when"] = None
        except TooManyBoxesError as error:
            run.wrong(
                f"this condition is too entangled: {error}",
                each.place("when"),
                "split it into several routes",
            )
            each.values["when"] = None
    whole = [
        d
        for d in routes.values()
        if d.get("when", ALWAYS) is not None and ("when" in d.values or "when" not in d.places)
    ]
    if not run.complete or len(whole) < len(routes):
        return
    table = Partition(Table(_plan(run).routes, universe(run.definitions, run.known), found))
    rows = list(routes.values())
    for lost, covers in table.unreachable_routes().items():
        names = [rows[n].name for n in covers]
        listed = ", ".join(repr(name) for name in names[:3]) + (", ..." if len(names) > 3 else "")
        one = "takes" if len(names) == 1 else "take"
        run.wrong(
            f"the route {rows[lost].name!r} never matches: {listed} before it {one} all it asks for",
            rows[lost].span,
            "move it up, or remove it",
            *((f"route {rows[n].name!r}", rows[n].span) for n in covers[:3]),
        )
    gap = table.find_gap() if run.sound else None
    if gap is not None:
        last = rows[-1]
        run.doubt(
            f"some requests match no route and are refused: {gap}",
            last.span,
            "end with a route without 'when'",
        )


def _levels(run: _Run) -> None:
    """Levels that can be entered and left, that do not flap by their own words, and that grow more severe."""
    rows = list(run.of("level").values())
    plan = levels_of(run.definitions, {}).specs if run.sound else ()
    for n, each in enumerate(rows):
        if each.name == NORMAL:
            run.wrong(f"{NORMAL!r} is what no level is called", each.span, "rename it")
        enter = each.get("enter")
        leave = each.get("leave")
        try:
            for name, rule in (("enter", enter), ("leave", leave)):
                if rule is not None and not regions(rule):
                    what = "entered" if name == "enter" else "left"
                    message = f"the level {each.name!r} can never be {what}"
                    run.wrong(message, each.place(name), "its parts exclude each other")
            if enter is not None and leave is not None:
                _flap(run, each, enter, leave)
        except TooManyRegionsError:
            run.wrong("this condition has too many cases", each.place("enter"), "make it simpler")
        if n and len(plan) == len(rows):
            for message, setting in _milder(plan[n - 1].actions, plan[n].actions):
                told = f"the level {each.name!r} {message} {rows[n - 1].name!r} before it"
                also = ("the level before", rows[n - 1].span)
                run.wrong(told, each.place(setting), "a later level is more severe", also)
    whole = run.of("levels").get("")
    if whole is not None and not rows and run.sound:
        run.doubt("there is no level", whole.span, "level NAME { ... }")


def _flap(run: _Run, each: Definition, enter: SignalCondition, leave: SignalCondition) -> None:
    found = overlap(enter, leave)
    if found is None:
        return
    shown = []
    for signal, (low, high) in found.items():
        at = low if low > float("-inf") else high
        bound = f"{at:g}ms" if signal == "lag" else f"{at * 100:g}%"
        shown.append(f"{signal} {'at' if at == low else 'just below'} {bound}")
    message = f"{each.name!r} would be entered and left by the same readings: {', '.join(shown)}"
    run.wrong(
        message,
        each.place("leave"),
        "let 'leave' ask for clearly less than 'enter'",
        ("entered by this", each.place("enter")),
    )


def _milder(lower: LevelActions, higher: LevelActions) -> Iterable[tuple[str, str]]:
    """In what a higher level sheds less than the one below it."""
    if _is_laxer(lower.admitted_share, higher.admitted_share):
        told = "all" if higher.admitted_share is None else f"{higher.admitted_share * 100:g}%"
        yield f"admits {told}, more than the {(lower.admitted_share or 0.0) * 100:g}% of", "admit"
    if higher.min_class_weight < lower.min_class_weight:
        yield "asks for less worth than", "worth"
    if lower.enforce_quotas and not higher.enforce_quotas:
        yield "lets tenants go beyond their shares, unlike", "within_share"
    if _is_laxer(lower.max_prompt_tokens, higher.max_prompt_tokens):
        yield "takes longer prompts than", "prompt"
    if _is_laxer(lower.retry_share, higher.retry_share):
        yield "allows more retries than", "retries"


def _is_laxer(lower: float | None, higher: float | None) -> bool:
    """Whether the limit of the higher level is above that of the lower one; None is no limit."""
    return lower is not None and (higher is None or higher > lower)


def universe(definitions: Definitions, known: Known) -> dict[str, frozenset[str]]:
    """The closed sets of names that conditions can meet; what is not told may be any name."""
    found: dict[str, frozenset[str]] = {}
    for kind in ("class", "tenant"):
        names = known.get(kind) or frozenset(definitions.get(kind, {}))
        if names:
            found[kind] = frozenset(names)
    return found


def _unused_constants(run: _Run) -> None:
    if not run.sound:
        return
    for name, (_, span) in run.constants.values.items():
        if name not in run.constants.used:
            run.doubt(f"nothing uses the constant ${name}", span, "remove it")


def in_order(problems: Iterable[Problem], sources: Sources) -> list[str]:
    return [sources.render(problem) for problem in problems]
