"""A plan: so many dispatchers and hosts, an open-loop load, and troubles at their times. A TOML file."""

from __future__ import annotations

import tomllib
from typing import Literal

import msgspec

DO = Literal["kill", "term", "stop", "drain", "replace", "fail", "link", "discovery", "network"]
HOW = {
    "discovery": ("silent", "503", "slow", "empty", "old"),
    "network": ("cut", "deaf", "dumb", "loss", "late", "twice"),
}


class BadPlan(Exception):
    """The text says what, and where."""


class Trouble(msgspec.Struct, forbid_unknown_fields=True):
    """`at` and `lasts` in seconds. A kill lasts until the new start, a stop until the waking.

    `link`: hosts answer what comes from these dispatchers with errors, as if each one's own path were broken.
    SIGTERM (`term`) has `lasts` seconds, 3.7 where none are told; each process starts anew once it has ended.
    """

    at: float
    do: DO
    who: str = "all"  # `0-9`, `0,3`, `holder` of a lease; hosts `r0,w1` for drain, replace and fail
    lasts: float = 0.0
    how: str = ""


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """`rate`: requests a second; `load`: what part of the hosts' capacity they are; `notice`: for how long
    the front still sends to a dispatcher that no longer answers, seconds."""

    seed: int
    dispatchers: int = 4
    readers: int = 3
    writers: int = 3
    rate: float = 40.0
    load: float = 0.6
    warm: float = 3.0
    seconds: float = 10.0
    notice: float = 1.2
    sockets: int = 256
    tells: bool = True
    file: str = ""  # the operator's file of every dispatcher, as text
    admin_api: bool = msgspec.field(name="door", default=False)  # does each serve it?
    supervised: bool = False  # is one that ends in order started again?
    trouble: list[Trouble] = []

    @property
    def fault_at(self) -> float:
        """When the first trouble strikes: what came before is the measure of whole service."""
        return min((each.at for each in self.trouble), default=self.warm)

    @property
    def over_at(self) -> float:
        """When the last trouble is over: its processes are started or woken, its agents and links are
        whole."""
        return max((each.at + each.lasts for each in self.trouble), default=self.warm)


def numbers(text: str, most: int) -> list[int]:
    """`all`, `0-3`, `1,4-5`. Raises BadPlan."""
    if text == "all":
        return list(range(most))
    found: list[int] = []
    for part in text.split(","):
        low, _, high = part.strip().partition("-")
        if not low.isdigit() or not (high or low).isdigit() or int(high or low) >= most:
            raise BadPlan(f"who = {text!r}: {part.strip()!r} is none of 0 to {most - 1}")
        found += range(int(low), int(high or low) + 1)
    return found


def read(text: str) -> Plan:
    try:
        plan = msgspec.convert(tomllib.loads(text), Plan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise BadPlan(str(error)) from None
    if not 1 <= plan.dispatchers <= 200 or min(plan.readers, plan.writers) < 1 or plan.rate <= 0:
        raise BadPlan("dispatchers = 1 to 200, readers and writers at least 1, rate above 0")
    hosts = {f"r{n}" for n in range(plan.readers)} | {f"w{n}" for n in range(plan.writers)}
    for n, each in enumerate(plan.trouble):
        where = f"trouble {n + 1} ({each.do})"
        if not 0 <= each.at <= plan.seconds or each.lasts < 0:
            raise BadPlan(f"{where}: at = {each.at} lies outside of 0 to seconds = {plan.seconds}")
        if each.do in HOW and each.how not in HOW[each.do]:
            raise BadPlan(f"{where}: how = {each.how!r} is none of {', '.join(HOW[each.do])}")
        if each.do in ("drain", "replace", "fail"):
            unknown = {x.strip() for x in each.who.split(",")} - hosts
            if unknown:
                raise BadPlan(f"{where}: no host {sorted(unknown)[0]!r}; there are r0 to w{plan.writers - 1}")
        elif each.who != "holder":
            numbers(each.who, plan.dispatchers)
    return plan
