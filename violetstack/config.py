"""What a dispatcher is told at its start: the platform's NODE_CONFIG, the operator's file, or both."""

from __future__ import annotations

import os
import secrets
import socket
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from violetstack.operator_config import (
    ChatConfig,
    LeaseConfig,
    OpenAIHost,
    OperatorConfig,
    OperatorConfigError,
)
from violetstack.policy_api import Endpoint, EndpointState, Settings
from violetstack.protocol.discovery import EndpointListMessage
from violetstack.settings import MessageError, SettingsMessage, TwoStageMessage, decode_settings

if TYPE_CHECKING:
    from violetstack.load_shedding.control import LevelPlan
    from violetstack.routing.generations import Plan

Address = tuple[str, int]
LEAST_SOCKETS = 48


class ConfigError(Exception):
    """The configuration can't be used; the text says why."""


class MachineLimits(msgspec.Struct):
    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class NodeConfig(msgspec.Struct):
    settings: SettingsMessage
    name: str = ""
    listen: str = ""
    discovery: str = ""
    seed: str = "0"
    limits: MachineLimits = msgspec.field(default_factory=MachineLimits)
    mgmt: str | None = None
    peer_listen: str | None = None
    peers: list[str] = []
    peers_all: str | None = None
    known: EndpointListMessage = msgspec.field(default_factory=EndpointListMessage)


def address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ConfigError(f"{text!r} is not an address and a port")
    return host.strip("[]"), int(port)


def address_of(key: str, text: str | None) -> Address | None:
    """Raises ConfigError with the key that it stands at."""
    try:
        return address(text) if text else None
    except ConfigError as error:
        raise ConfigError(f"{key}: {error}") from None


def seed_of(text: str) -> int:
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text[:40]!r} is no hexadecimal number") from None


PLAIN_KIND = "openai"
PLAIN_MEMORY_TOKENS = 100_000.0


def with_plain_hosts(
    settings_message: SettingsMessage, hosts: list[OpenAIHost]
) -> tuple[SettingsMessage, tuple[Endpoint, ...]]:
    """The settings with one more kind, for the chat file's own hosts, and these hosts as list entries."""
    if not hosts:
        return settings_message, ()
    family = settings_message.family_info or TwoStageMessage()
    kinds = list(settings_message.kinds or [])
    stages = list(family.stage_of_kind or ["both"] * len(kinds))
    memory = list(family.kv_tokens or [0.0] * len(kinds))
    sizes = [host.memory_tokens for host in hosts if host.memory_tokens > 0]
    memory.append(sum(sizes) / len(sizes) if sizes else PLAIN_MEMORY_TOKENS)
    family = msgspec.structs.replace(family, stage_of_kind=[*stages, "both"], kv_tokens=memory)
    entries = tuple(
        Endpoint(host.id, 0, host.weight, settings_message.zone, EndpointState.HEALTHY, len(kinds), None)
        for host in hosts
    )
    return msgspec.structs.replace(settings_message, family_info=family, kinds=[*kinds, PLAIN_KIND]), entries


class Config:
    """`operator` is the operator's file, `plan` its routes; both may be missing on the platform."""

    def __init__(
        self,
        told: NodeConfig,
        operator: OperatorConfig | None = None,
        plan: Plan | None = None,
        warnings: tuple[str, ...] = (),
        levels: LevelPlan | None = None,
    ) -> None:
        self.told = told
        self.limits = told.limits
        self.operator = operator
        self.plan = plan
        self.warnings = warnings
        self.levels = levels
        if told.limits.sockets < LEAST_SOCKETS or told.limits.memory_mb <= 0:
            raise ConfigError(f"limits: nothing can be served with {told.limits}")
        self.settings_message, self.plain = with_plain_hosts(
            told.settings, operator.hosts if operator is not None else []
        )
        self.settings: Settings = decode_settings(self.settings_message, seed_of(told.seed))
        checked = ChatConfig(operator, self.settings_message) if operator is not None else None
        self.chat = checked if operator is not None and operator.listen else None
        self.listen = address_of("listen", told.listen)
        self.mgmt = address_of("mgmt", told.mgmt)
        self.inherited_fd: int | None = None  # the clients' listener, bound by whoever started this process
        self.inherited: socket.socket | None = None  # the same, once it has been looked at
        self.shared_folder: str | None = None  # kept from one process of this dispatcher to the next
        self.discovery = address_of("discovery", told.discovery)
        self.peer_listen = address_of("peer_listen", told.peer_listen)
        self.peers = [address(peer) for peer in told.peers]
        self.peers_all = address_of("peers_all", told.peers_all)
        if operator is not None and operator.duties is not None:
            self._check(operator.duties)
        rules = told.settings.rules
        limits = told.settings.limits
        within = rules.stop_sending_within if rules is not None else None
        self.drain_grace_ms = 250.0 if within is None else within
        idle = limits.idle_close if limits is not None else None
        self.idle_close_ms = idle or 30_000.0

    def _check(self, duties: LeaseConfig) -> None:
        """Whoever is not reached can't vote, so each of the tier has to be named."""
        size = self.settings.dispatcher_count
        named = len(self.peers)
        if self.peer_listen is None or named != size or self.settings.dispatcher_index >= named:
            raise ConfigError(f"duties: {named} peers are named for a fleet of {size}; each is to be there")
        if duties.leave >= size > 1:
            raise ConfigError(f"duties: leave = {duties.leave} bounds nothing in a fleet of {size}")


def descriptor(text: str) -> int | None:
    if text and not text.isdigit():
        raise ConfigError(f"NODE_INHERITED_FD: {text!r} is no descriptor")
    return int(text) if text else None


def node_config(path: str) -> NodeConfig:
    """The file that NODE_CONFIG names. Raises ConfigError."""
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=NodeConfig)
    except (OSError, ValueError, msgspec.MsgspecError) as error:
        raise ConfigError(f"{path}: {error}") from None


def known_of(told: NodeConfig) -> dict[str, frozenset[str]]:
    """The names that the settings bring, for the check of an operator's file."""
    settings_message = told.settings
    return {
        "class": frozenset(spec.name for spec in settings_message.classes),
        "tenant": frozenset(spec.name for spec in settings_message.parties or ()),
        "kind": frozenset(settings_message.kinds or ()),
        "zone": frozenset(settings_message.zones or ()),
    }


def load(path: str, file: str | None = None, *, again: bool = False) -> Config:
    """From the file that NODE_CONFIG names, the operator's file, or both.

    Read `again`, the file's own discovery counts: the environment is that of the start, and may be old.
    """
    told = node_config(path) if path else None
    if told is not None:
        told.listen = os.environ.get("NODE_LISTEN") or told.listen
        started_with = os.environ.get("NODE_DISCOVERY", "")
        told.discovery = (again and told.discovery) or started_with or told.discovery
        told.mgmt = os.environ.get("NODE_MGMT") or told.mgmt
        told.name = os.environ.get("NODE_NAME") or told.name
    try:
        if file is None and told is None:
            raise ConfigError("NODE_CONFIG names no file, and no operator's file is given")
        config = Config(told) if file is None and told is not None else _with_file(str(file), told)
        config.inherited_fd = descriptor(os.environ.get("NODE_INHERITED_FD", ""))
        config.shared_folder = os.environ.get("TMPDIR") if config.mgmt else None
        return config
    except (ValueError, MessageError) as error:
        raise ConfigError(f"{path or file}: {error}") from None
    except OperatorConfigError as error:
        raise ConfigError(str(error)) from None


def _with_file(file: str, told: NodeConfig | None) -> Config:
    from violetstack.language import compiling  # noqa: PLC0415 - the parser loads only where there is a file

    compiled, warnings = compiling.load(file, known_of(told) if told is not None else None)
    operator = compiled.file
    if told is None:
        if operator.settings is None:
            raise OperatorConfigError(f"{file}: no class is defined, and no NODE_CONFIG brings any")
        limits = MachineLimits(operator.cores, operator.memory_mb, operator.descriptors)
        told = NodeConfig(
            settings=operator.settings,
            seed=secrets.token_hex(8),
            listen=operator.platform,
            discovery=operator.discovery,
            limits=limits,
        )
    return Config(told, operator, compiled.plan, tuple(warnings), compiled.levels)
