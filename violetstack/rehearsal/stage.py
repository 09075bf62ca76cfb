"""A whole dispatcher between scripted peers, all on loopback ports of this process."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec
import trio

from violetstack.config import Address, Config, NodeConfig
from violetstack.daemon.daemon import Daemon
from violetstack.language.compiling import load
from violetstack.operator_config import OperatorConfig
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import ModelHost
from violetstack.routing.generations import RoutingPlan

SETTINGS: dict[str, Any] = {
    "classes": [
        {"name": "consulta", "aim": 1500.0, "give_up": 7500.0, "idempotency": "read_like", "value": 3.0},
        {"name": "orden", "aim": 2500.0, "give_up": 10000.0, "idempotency": "non_idempotent", "value": 2.0},
    ],
    "parties": [{"name": "acme", "fraction": 1.0, "allowance_per_s": 1000.0}],
    "fleet_size": 1,
    "kinds": ["prefill", "decode"],
    "zones": ["z"],
    "family_info": {
        "ahead": True,
        "release": 1000.0,
        "stage_of_kind": ["read", "write"],
        "kv_tokens": [200000.0, 200000.0],
        "token_aim": [60.0, 80.0],
    },
    "limits": {
        "cancel": True,
        "connect_timeout": 250.0,
        "max_attempts": 5,
        "max_retry_after": 500.0,
        "may_duplicate": True,
        "retry_after": True,
        "idle_close": 30000.0,
    },
    "report": {"how": "inline", "names": ["rif", "x0"]},
    "rules": {
        "cold": 14000.0,
        "cold_share": 0.3,
        "fall": 1500.0,
        "fall_multiple": 2.5,
        "grace_to_answer": 16.0,
        "stop_sending_within": 250.0,
    },
}

CHAT: dict[str, Any] = {
    "listen": "127.0.0.1:0",
    "models": [{"name": "giro-consulta", "class": "consulta"}, {"name": "giro-orden", "class": "orden"}],
    "keys": [{"key": "kiosk-key", "tenant": "acme"}],
}


@dataclass
class Stage:
    daemon: Daemon
    discovery: Discovery
    platform: Address
    chat: Address
    challenge: Address | None
    nursery: trio.Nursery
    told: dict[str, Any]
    chat_file: OperatorConfig
    plan: RoutingPlan | None
    admin: Address

    def config(self, **changes: Any) -> Config:
        """The configuration that it was started with, changed."""
        return Config(msgspec.convert({**self.told, **changes}, NodeConfig), self.chat_file, self.plan)


@asynccontextmanager
async def stage(
    *hosts: ModelHost,
    settings: dict[str, Any] | None = None,
    chat: dict[str, Any] | None = None,
    sockets: int = 256,
    memory_mb: float = 192.0,
    file: Path | None = None,
    folder: Path | None = None,
) -> AsyncIterator[Stage]:
    """The daemon serves the admin API; `folder` is what this dispatcher's processes share, if they do.

    `settings` and `chat` change the plain ones above; hosts of the kind `openai` are the operator's own.

    `file` brings routes, pools, policies and levels; its other definitions do not count here.
    """
    async with trio.open_nursery() as nursery:
        for host in hosts:
            await nursery.start(host.serve)
        rows = [host.row() for host in hosts if host.kind != "openai"]
        discovery = Discovery(*rows)
        await nursery.start(discovery.serve)
        told = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "seed": "1",
            "discovery": discovery.address,
            "limits": {"sockets": sockets, "memory_mb": memory_mb},
            "settings": {**SETTINGS, **(settings or {})},
            "known": {"version": 1, "full": True, "servers": rows},
        }
        plain = [{"id": h.name, "address": h.address} for h in hosts if h.kind == "openai"]
        operator = msgspec.convert({**CHAT, "hosts": plain, **(chat or {})}, OperatorConfig)
        compiled = load(file)[0] if file is not None else None
        plan, levels = (compiled.plan, compiled.levels) if compiled is not None else (None, None)
        config = Config(msgspec.convert(told, NodeConfig), operator, plan, load_shedding_plan=levels)
        config.shared_directory = str(folder) if folder is not None else None
        daemon = Daemon(config)
        serving = await nursery.start(daemon.serve)
        yield Stage(
            daemon,
            discovery,
            serving.platform,
            serving.chat,
            serving.challenge,
            nursery,
            told,
            operator,
            plan,
            serving.admin or serving.platform,
        )
        nursery.cancel_scope.cancel()
