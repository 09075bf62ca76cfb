"""A complete dispatcher and its scripted peers, all on loopback ports of this process."""

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
    """A running dispatcher, its scripted discovery and the addresses at which it listens.

    Attributes:
        nursery: Runs the peers and the dispatcher; more peers may be started in it.
        node_config: The NODE_CONFIG object with which the dispatcher was started.
        operator_config: The part of its configuration that comes from the operator's file.
        plan: The routing plan compiled from the operator's file; None without a file.
        admin: Where the admin API listens.
    """

    daemon: Daemon
    discovery: Discovery
    platform: Address
    chat: Address
    challenge: Address | None
    nursery: trio.Nursery
    node_config: dict[str, Any]
    operator_config: OperatorConfig
    plan: RoutingPlan | None
    admin: Address

    def config(self, **changes: Any) -> Config:
        """Return the configuration of the dispatcher, with changed keys of NODE_CONFIG."""
        return Config(
            msgspec.convert({**self.node_config, **changes}, NodeConfig), self.operator_config, self.plan
        )


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
    """Run a dispatcher, which also serves the admin API, between these hosts and a scripted discovery.

    Args:
        hosts: The model hosts. Those of the kind `openai` are in the operator's configuration; discovery
            lists the others.
        settings: Keys of the settings object that replace those of SETTINGS.
        chat: Keys of the operator's configuration that replace those of CHAT.
        sockets: The limit of open sockets.
        memory_mb: The limit of memory, in megabytes.
        file: An operator's file with routes, pools, policies and levels; its other definitions are ignored.
        folder: The directory that all processes of this dispatcher share; None if there is one process.
    """
    async with trio.open_nursery() as nursery:
        for host in hosts:
            await nursery.start(host.serve)
        rows = [host.row() for host in hosts if host.kind != "openai"]
        discovery = Discovery(*rows)
        await nursery.start(discovery.serve)
        node_config = {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "mgmt": "127.0.0.1:0",
            "seed": "1",
            "discovery": discovery.address,
            "limits": {"sockets": sockets, "memory_mb": memory_mb},
            "settings": {**SETTINGS, **(settings or {})},
            "known": {"version": 1, "full": True, "servers": rows},
        }
        openai_hosts = [{"id": h.name, "address": h.address} for h in hosts if h.kind == "openai"]
        operator = msgspec.convert({**CHAT, "hosts": openai_hosts, **(chat or {})}, OperatorConfig)
        compiled = load(file)[0] if file is not None else None
        plan, levels = (compiled.plan, compiled.levels) if compiled is not None else (None, None)
        config = Config(msgspec.convert(node_config, NodeConfig), operator, plan, load_shedding_plan=levels)
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
            node_config,
            operator,
            plan,
            serving.admin or serving.platform,
        )
        nursery.cancel_scope.cancel()
