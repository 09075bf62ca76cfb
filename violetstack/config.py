"""What a dispatcher is told at its start, from the file that NODE_CONFIG names."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec

from violetstack import interface as t
from violetstack.facts import WFacts, settings_of
from violetstack.protocol.discovery import WTargets

Address = tuple[str, int]


class BadConfig(Exception):
    """The configuration can't be used; the text says why."""


class WLimitsOfMachine(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class WConfig(msgspec.Struct):
    settings: WFacts
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: WLimitsOfMachine = msgspec.field(default_factory=WLimitsOfMachine)
    peer_listen: str | None = None
    peers: list[str] = []
    peers_all: str | None = None
    known: WTargets = msgspec.field(default_factory=WTargets)


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise BadConfig(f"{text!r} is not an address and a port")
    return host.strip("[]"), int(port)


class Config:
    def __init__(self, told: WConfig) -> None:
        self.told, self.facts, self.limits = told, told.settings, told.limits
        self.settings: t.Settings = settings_of(told.settings, int(told.seed, 16))
        self.listen = address(told.listen)
        self.discovery = address(told.discovery) if told.discovery else None
        rules, limits = told.settings.rules, told.settings.limits
        within = rules.stop_sending_within if rules is not None else None
        self.drain_grace_ms = 250.0 if within is None else within
        idle = limits.idle_close if limits is not None else None
        self.idle_close_ms = idle or 30_000.0


def load(path: str | None = None) -> Config:
    path = path or os.environ.get("NODE_CONFIG", "")
    if not path:
        raise BadConfig("NODE_CONFIG names no file")
    try:
        told = msgspec.json.decode(Path(path).read_bytes(), type=WConfig)
    except (OSError, msgspec.MsgspecError) as error:
        raise BadConfig(f"{path}: {error}") from None
    told.listen = os.environ.get("NODE_LISTEN") or told.listen
    told.discovery = os.environ.get("NODE_DISCOVERY") or told.discovery
    told.name = os.environ.get("NODE_NAME") or told.name
    try:
        return Config(told)
    except ValueError as error:
        raise BadConfig(f"{path}: {error}") from None
