"""Draws the settings and hosts of one deployment from a seed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import msgspec

from violetstack.policy_api import Role, Settings
from violetstack.settings import SettingsMessage, decode_settings

CLIENT_TIMEOUTS_S = (0.3, 0.5, 0.64, 1.0, 2.0, 3.0, 5.0, 15.0)
DEDUPLICATION_WINDOWS_MS = (60.0, 250.0, 800.0, 3000.0, 20000.0)
DRAIN_GRACES_MS = (250.0, 1000.0)
IDLE_TIMEOUTS_MS = (600.0, 2000.0, 15000.0)
CONNECT_TIMEOUTS_MS = (250.0, 600.0, 1500.0)
REPORT_FIELDS = ["rif", "x0"]
MAX_SHORT_TIMEOUT_S = 5.0
LONG_TIMEOUT_CHANCE = 0.12
CELL_COUNT = 2


@dataclass(frozen=True)
class HostPlan:
    """One model host of a deployment."""

    name: str
    kind: str
    role: Role
    zone: str
    cell: int


@dataclass(frozen=True)
class Deployment:
    """The settings of a deployment, in the form of a dispatcher's configuration, and its hosts.

    Attributes:
        message: The settings object that all dispatchers share.
        timeouts_s: The client time-out of each class, in the order of the classes.
    """

    message: dict[str, Any]
    hosts: tuple[HostPlan, ...]
    zones: tuple[str, ...]
    tenants: tuple[str, ...]
    class_names: tuple[str, ...]
    timeouts_s: tuple[float, ...]
    dispatcher_count: int

    @property
    def settings(self) -> Settings:
        """Returns the settings as a dispatcher decodes them."""
        return decode_settings(msgspec.convert(self.message, SettingsMessage), 1)

    @property
    def drain_grace_s(self) -> float:
        return float(self.message["rules"]["stop_sending_within"]) / 1000.0

    @property
    def longest_timeout_s(self) -> float:
        return max(self.timeouts_s)

    def for_dispatcher(self, number: int) -> dict[str, Any]:
        """Returns the settings object of the dispatcher with this number."""
        return {**self.message, "me": number, "zone": number % len(self.zones)}

    def describe(self) -> str:
        """Returns a one-line summary for reports."""
        settings = self.message
        limits = settings["limits"]
        stages = settings["family_info"]
        classes = " ".join(_describe_class(request_class) for request_class in settings["classes"])
        switches = {
            "cancel": limits["cancel"],
            "hedge": limits["may_duplicate"],
            "probes": limits["probes"],
            "gossip": limits["peers"],
            "retry-after": limits["retry_after"],
            "ahead": stages["ahead"],
            "resume": stages["resume"],
            "local-read": stages["local_read"],
            "report": settings["report"] is not None,
        }
        on = ",".join(name for name, value in switches.items() if value) or "none"
        kinds = "/".join(settings["kinds"])
        return (
            f"{classes}; {kinds} in {len(self.zones)} zones; {self.dispatcher_count} dispatchers; on: {on}; "
            f"attempts {limits['max_attempts']}, connect {limits['connect_timeout']:g}, "
            f"idle {limits['idle_close']:g}, grace {settings['rules']['stop_sending_within']:g} ms, "
            f"tenants {len(self.tenants)}"
        )


def _describe_class(message: dict[str, Any]) -> str:
    keyed = f"({message['group']},{message['window']:g})" if "window" in message else ""
    return f"{message['name']}={message['idempotency']}{keyed}/{message['give_up']:g}"


def draw_deployment(seed: int, dispatchers: int | None = None) -> Deployment:
    """Draws consistent settings from all deployments that the protocol allows.

    `dispatchers` sets the number of dispatchers, which is otherwise drawn from two to four.
    """
    rng = random.Random(f"deployment {seed}")
    zones = tuple(f"z{n}" for n in range(rng.randint(1, 3)))
    tenants = tuple(f"tenant{n}" for n in range(rng.choice((0, 1, 3))))
    dispatcher_count = rng.randint(2, 3) if rng.random() < 0.8 else 4
    roles = _draw_roles(rng)
    if dispatchers is not None:
        dispatcher_count = dispatchers
    hosts = _draw_hosts(rng, roles, zones)
    classes = _draw_classes(rng)
    has_mixed_hosts = any(role is Role.MIXED for _, role in roles)
    timeouts_s = tuple(float(request_class["give_up"]) / 1000.0 for request_class in classes)
    message: dict[str, Any] = {
        "classes": classes,
        "parties": [
            {"name": name, "fraction": 1.0 / len(tenants), "allowance_per_s": 200.0} for name in tenants
        ],
        "fleet_size": dispatcher_count,
        "kinds": [kind for kind, _ in roles],
        "zones": list(zones),
        "family_info": {
            "ahead": _draw_switch(rng),
            "local_read": _draw_switch(rng),
            "resume": _draw_switch(rng),
            "release": rng.choice((400.0, 1000.0, 3000.0)),
            "stage_of_kind": [role.value for _, role in roles],
            "kv_tokens": [200_000.0] * len(roles),
            "token_aim": [80.0] * len(classes),
        },
        "limits": {
            "cancel": _draw_switch(rng),
            "connect_timeout": rng.choice(CONNECT_TIMEOUTS_MS),
            "max_attempts": rng.choice((1, 2, 3, 4, 5, 6)) if has_mixed_hosts else rng.randint(2, 6),
            "max_retry_after": 500.0,
            "may_duplicate": _draw_switch(rng),
            "probes": _draw_switch(rng),
            "peers": _draw_switch(rng),
            "retry_after": _draw_switch(rng),
            "idle_close": rng.choice(IDLE_TIMEOUTS_MS),
        },
        "report": rng.choice(
            (None, {"how": "inline", "names": REPORT_FIELDS}, {"how": "on_probe", "names": REPORT_FIELDS})
        ),
        "rules": {
            "cold": 6000.0,
            "cold_share": 0.3,
            "fall": 1500.0,
            "fall_multiple": 2.5,
            "grace_to_answer": 16.0,
            "stop_sending_within": rng.choice(DRAIN_GRACES_MS),
        },
    }
    names = tuple(str(request_class["name"]) for request_class in classes)
    return Deployment(message, hosts, zones, tenants, names, timeouts_s, dispatcher_count)


def _draw_switch(rng: random.Random) -> bool:
    return rng.random() < 0.5


def _draw_roles(rng: random.Random) -> list[tuple[str, Role]]:
    two_stage = [("prefill", Role.PREFILL), ("decode", Role.DECODE)]
    mixed = [("mixed", Role.MIXED)]
    return rng.choice((two_stage, two_stage, mixed, two_stage + mixed))


def _draw_hosts(
    rng: random.Random, roles: Sequence[tuple[str, Role]], zones: tuple[str, ...]
) -> tuple[HostPlan, ...]:
    hosts = []
    for kind, role in roles:
        for n in range(max(len(zones), rng.randint(2, 3))):
            zone = zones[n % len(zones)]
            hosts.append(HostPlan(f"{kind[0]}{n}", kind, role, zone, n % CELL_COUNT))
    return tuple(hosts)


def _draw_classes(rng: random.Random) -> list[dict[str, Any]]:
    """Draws one class of each kind of idempotency, in random order, each with its own time-out."""
    classes = []
    for n, idempotency in enumerate(rng.sample(("read_like", "idempotency_key", "non_idempotent"), 3)):
        timeout_s = rng.choice([timeout for timeout in CLIENT_TIMEOUTS_S if timeout <= MAX_SHORT_TIMEOUT_S])
        if rng.random() < LONG_TIMEOUT_CHANCE:
            timeout_s = max(CLIENT_TIMEOUTS_S)
        message: dict[str, Any] = {
            "name": f"c{n}",
            "aim": timeout_s * 1000.0 * rng.choice((0.3, 0.6, 0.9)),
            "give_up": timeout_s * 1000.0,
            "idempotency": idempotency,
            "value": rng.choice((1.0, 3.0)),
        }
        if idempotency == "idempotency_key":
            message["group"] = rng.choice(("all", "zone", "cell"))
            message["window"] = rng.choice(DEDUPLICATION_WINDOWS_MS)
        classes.append(message)
    return classes
