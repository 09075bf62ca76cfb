"""Why a request goes where it goes, as lines for a person."""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from violetstack.language.meaning import Meaning
from violetstack.language.source import nearest
from violetstack.language.units import TOKENS, base, number
from violetstack.routing.conditions import format_condition
from violetstack.routing.pools import fallback_chain
from violetstack.routing.table import RequestAttributes, Table


class UnknownName(Exception):
    """A class or tenant that the file does not know, or a length that is none; the text says which."""


def tokens(told: str) -> int:
    """`9000`, `9ktok`, `9 ktok`."""
    digits = told.rstrip("abcdefghijklmnopqrstuvwxyzM ")
    unit = told[len(digits) :].strip() or "tok"
    value = number(digits) if digits else None
    if value is None or unit not in TOKENS.units:
        raise UnknownName(f"{told!r} is no number of tokens, such as 9000 or 9ktok")
    return int(base(value, unit))


def explained(
    meaning: Meaning, table: Table, attributes: RequestAttributes, universe: Mapping[str, frozenset[str]]
) -> Iterator[str]:
    """Raises UnknownName for a class or tenant that can't be."""
    for name, value in (("class", attributes.cls), ("tenant", attributes.tenant)):
        known = universe.get(name)
        if known and value not in known and (value or name == "class"):
            fix = nearest(value, sorted(known))
            raise UnknownName(
                f"there is no {name} {value!r}; {fix or 'there are ' + ', '.join(sorted(known))}"
            )
    route, passed = table.explain(attributes)
    for each, reasons in passed:
        yield f"not {each.name} ({each.location}): {'; '.join(reasons)}"
    if not table.routes:
        yield "there are no routes: every request may go to every host"
        return
    if route is None:
        yield "no route matches: refused at once, and no host hears of it"
        return
    yield f"route {route.name} ({route.location}): {format_condition(route.condition)}"
    plan = meaning.plan
    if route.pool:
        order = fallback_chain(plan.pools, route.pool)
        for n, name in enumerate(order):
            spec = plan.pools[name]
            what = "pool" if n == 0 else f"then, while {order[n - 1]} has too few members,"
            yield (
                f"{what} {name} ({spec.location}): "
                f"{format_condition(spec.members)}; at least {spec.min_members}"
            )
    else:
        yield "pool: all hosts"
    policy = plan.policies.get(route.policy)
    if policy is None:
        yield "policy: the settings alone"
        return
    told = []
    if policy.deadline_ms is not None:
        told.append(f"deadline {policy.deadline_ms:g}ms")
    if policy.max_attempts is not None:
        told.append(f"attempts {policy.max_attempts}")
    if policy.retry_share is not None:
        told.append(f"retries {policy.retry_share * 100:g}% and {policy.retry_floor:g} req/s")
    if policy.max_body_bytes is not None:
        told.append(f"body {policy.max_body_bytes}B")
    yield f"policy {policy.name} ({policy.location}): {', '.join(told) or 'nothing beyond the settings'}"
