"""A dispatcher process that serves the platform front and the chat front, between hosts of one API."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from violetstack.config import Address
from violetstack.rehearsal.fleet.addresses import loopback_address
from violetstack.rehearsal.fleet.dispatcher_process import DispatcherProcess, dispatcher_process
from violetstack.rehearsal.fleet.programs import Program
from violetstack.rehearsal.hosts import ModelHost

CHAT_PORT = 5001
API_KEY = "kiosk-key"
SECOND_API_KEY = "desk-key"
"""Another key of the same tenant."""
OTHER_TENANT_API_KEY = "branch-key"
"""A key of another tenant."""
FILE = """
listen chat {{ address = "{address}:{port}" }}
ledger {{ file = "{folder}/orders.sqlite" keep = 2d lease = {lease} }}
key kiosk {{ secret = "kiosk-key" tenant = acme }}
key desk {{ secret = "desk-key" tenant = acme }}
key branch {{ secret = "branch-key" tenant = branch }}
"""
MODEL_BLOCK = "model {name} {{ class = {request_class} max_tokens = 50tok }}\n"
HOST_BLOCK = 'host {name} {{ address = "{address}" }}\n'
TENANTS = [
    {"name": "acme", "fraction": 0.5, "allowance_per_s": 1000.0},
    {"name": "branch", "fraction": 0.5, "allowance_per_s": 1000.0},
]


def model_of(request_class: str) -> str:
    """Returns the name of the model whose requests are of a class."""
    return f"giro-{request_class}"


@dataclass
class TwoFrontProcess:
    """One dispatcher in its own process, and the address of its chat front."""

    dispatcher: DispatcherProcess
    chat: Address

    @property
    def platform(self) -> Address:
        """The address of the platform front."""
        return self.dispatcher.address


@asynccontextmanager
async def two_front_process(
    *hosts: ModelHost,
    folder: Path,
    settings: dict[str, Any] | None = None,
    lease: str = "10s",
    number: int = 0,
) -> AsyncIterator[TwoFrontProcess]:
    """Starts a dispatcher and yields it once it is ready.

    Args:
        hosts: Those of the kind `openai` are in the operator's file, discovery lists the others.
        folder: Where the idempotency records are kept, which several dispatchers may share.
        settings: Keys that replace those of the stage's settings.
        lease: The lease on claimed requests, in the notation of the operator's file.
        number: Tells apart several dispatchers that run at the same time.
    """
    chat = loopback_address(number, CHAT_PORT)

    def add_operator_file(program: Program) -> None:
        """Runs when the hosts have their addresses."""
        text = FILE.format(address=chat[0], port=chat[1], folder=folder, lease=lease)
        classes = [spec["name"] for spec in program.node_config["settings"]["classes"]]
        text += "".join(MODEL_BLOCK.format(name=model_of(name), request_class=name) for name in classes)
        openai_hosts = [host for host in hosts if host.kind == "openai"]
        program.operator_file = text + "".join(
            HOST_BLOCK.format(name=host.name, address=host.address) for host in openai_hosts
        )

    async with dispatcher_process(
        *hosts,
        settings={"parties": TENANTS, **(settings or {})},
        sockets=1024,
        prepare=add_operator_file,
        number=number,
    ) as process:
        yield TwoFrontProcess(process, chat)
