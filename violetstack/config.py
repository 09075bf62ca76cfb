"""The configuration of one dispatcher, from the platform's NODE_CONFIG, the operator's file, or both."""

from __future__ import annotations

import errno
import os
import secrets
import socket
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec

from violetstack.operator_config import (
    ChatFrontConfig,
    LeaseConfig,
    OpenAIHost,
    OperatorConfig,
    OperatorConfigError,
)
from violetstack.policy_api import Endpoint, EndpointState, Settings
from violetstack.protocol.discovery import EndpointListMessage
from violetstack.settings import MessageError, SettingsMessage, TwoStageMessage, decode_settings

if TYPE_CHECKING:
    from violetstack.load_shedding.levels import LevelPlan
    from violetstack.routing.generations import RoutingPlan

Address = tuple[str, int]
MIN_SOCKETS = 48  # with fewer, the process's own descriptors leave none for clients and hosts
OPENAI_KIND = "openai"
OPENAI_MEMORY_TOKENS = 100_000.0  # memory of the hosts if the operator's file does not state it for any
DEFAULT_DRAIN_GRACE_MS = 250.0
DEFAULT_IDLE_CLOSE_MS = 30_000.0
MAX_SHOWN_VALUE = 40  # characters of an invalid value in an error


class ConfigError(Exception):
    """The configuration is invalid; the text names the key and the reason."""


class ConfigUnreadableError(ConfigError):
    """The file can't be read because of a transient error of this machine; reading it should be retried."""


TRANSIENT_READ_ERRORS = frozenset(
    {errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.EINTR, errno.EAGAIN, errno.EIO}
)


class MachineLimits(msgspec.Struct):
    """The resources that this process may use; `sockets` is the number of file descriptors."""

    cores: float = 1.0
    memory_mb: float = 192.0
    sockets: int = 1024


class NodeConfig(msgspec.Struct):
    """The content of the file that NODE_CONFIG names; the attributes are the platform's keys."""

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


class Config:
    """The configuration in force: `node` and `operator` as they were read, and the values derived from both.

    Raises:
        ConfigError: An address, limit, seed or lease setting is invalid.
        OperatorConfigError: The operator's file refers to an undefined class, tenant or model.
        MessageError: The settings are invalid.
    """

    def __init__(
        self,
        node: NodeConfig,
        operator: OperatorConfig | None = None,
        routing_plan: RoutingPlan | None = None,
        warnings: tuple[str, ...] = (),
        load_shedding_plan: LevelPlan | None = None,
    ) -> None:
        """Checks the configuration; `warnings` are those about the operator's file."""
        self.node = node
        self.operator = operator
        self.routing_plan = routing_plan
        self.load_shedding_plan = load_shedding_plan
        self.warnings = warnings
        self.limits = node.limits
        _check_limits(node.limits)
        self.settings_message, self.openai_endpoints = with_openai_hosts(
            node.settings, operator.hosts if operator is not None else []
        )
        self.settings: Settings = decode_settings(self.settings_message, parse_seed(node.seed))
        checked = ChatFrontConfig(operator, self.settings_message) if operator is not None else None
        self.chat = checked if operator is not None and operator.listen else None
        self.listen = parse_optional_address("listen", node.listen)
        self.admin_listen = parse_optional_address("mgmt", node.mgmt)
        self.discovery = parse_optional_address("discovery", node.discovery)
        self.peer_listen = parse_optional_address("peer_listen", node.peer_listen)
        self.peers = [parse_address(peer) for peer in node.peers]
        self.peers_all = parse_optional_address("peers_all", node.peers_all)
        # The listening socket for clients if the parent process has bound it: its descriptor, and the socket
        # once the descriptor has been checked.
        self.inherited_fd: int | None = None
        self.inherited_listener: socket.socket | None = None
        self.shared_directory: str | None = None  # shared by the processes of this dispatcher
        if operator is not None and operator.duties is not None:
            self._check_leases(operator.duties)

    @property
    def drain_grace_ms(self) -> float:
        """Time after the announcement of a drain from which no request may be sent to the host."""
        rules = self.node.settings.rules
        grace_ms = rules.stop_sending_within if rules is not None else None
        return DEFAULT_DRAIN_GRACE_MS if grace_ms is None else grace_ms

    @property
    def idle_close_ms(self) -> float:
        """Time after which an idle upstream connection is closed."""
        limits = self.node.settings.limits
        idle_ms = limits.idle_close if limits is not None else None
        return idle_ms or DEFAULT_IDLE_CLOSE_MS

    def _check_leases(self, leases: LeaseConfig) -> None:
        """Checks that every dispatcher is among the peers, since one that can't be reached can't vote."""
        size = self.settings.dispatcher_count
        peer_count = len(self.peers)
        if self.peer_listen is None or peer_count != size or self.settings.dispatcher_index >= peer_count:
            raise ConfigError(
                f"duties: peer_listen and an entry in peers for each of the {size} dispatchers are required; "
                f"peers has {peer_count}, and this is dispatcher {self.settings.dispatcher_index}"
            )
        if leases.restart_permits >= size > 1:
            raise ConfigError(
                f"duties: leave = {leases.restart_permits} is not below the number of dispatchers ({size})"
            )


def load(path: str, file: str | None = None, *, is_reload: bool = False) -> Config:
    """Reads the file that NODE_CONFIG names (`path`), the operator's file (`file`), or both.

    On a reload, `discovery` in the file takes precedence over the environment, which can't have changed since
    the process started.

    Raises:
        ConfigUnreadableError: The file that NODE_CONFIG names can't be read because of a transient error.
        ConfigError: The configuration is invalid, or there is none.
    """
    node = read_node_config(path) if path else None
    if node is not None:
        _apply_environment(node, is_reload=is_reload)
    try:
        if file is not None:
            config = _load_operator_file(file, node)
        elif node is not None:
            config = Config(node)
        else:
            raise ConfigError("NODE_CONFIG is not set, and no operator's file is given")
        config.inherited_fd = parse_descriptor(os.environ.get("NODE_INHERITED_FD", ""))
        config.shared_directory = os.environ.get("TMPDIR") if config.admin_listen else None
    except (ValueError, MessageError) as error:
        raise ConfigError(f"{path or file}: {error}") from None
    except OperatorConfigError as error:
        raise ConfigError(str(error)) from None
    return config


def read_node_config(path: str) -> NodeConfig:
    """Decodes the file that NODE_CONFIG names.

    Raises:
        ConfigUnreadableError: It can't be read because of a transient error.
        ConfigError: It can't be read, or its content is invalid.
    """
    try:
        return msgspec.json.decode(Path(path).read_bytes(), type=NodeConfig)
    except OSError as error:
        is_transient = error.errno in TRANSIENT_READ_ERRORS
        raise (ConfigUnreadableError if is_transient else ConfigError)(f"{path}: {error}") from None
    except (ValueError, msgspec.MsgspecError) as error:
        raise ConfigError(f"{path}: {error}") from None


def known_names(node: NodeConfig) -> dict[str, frozenset[str]]:
    """Returns the names that the settings define, by category, for checking an operator's file."""
    settings = node.settings
    return {
        "class": frozenset(spec.name for spec in settings.classes),
        "tenant": frozenset(spec.name for spec in settings.parties or ()),
        "kind": frozenset(settings.kinds or ()),
        "zone": frozenset(settings.zones or ()),
    }


def with_openai_hosts(
    settings: SettingsMessage, hosts: list[OpenAIHost]
) -> tuple[SettingsMessage, tuple[Endpoint, ...]]:
    """Adds a kind for the operator's own hosts to the settings; returns them and the hosts as endpoints."""
    if not hosts:
        return settings, ()
    family = settings.family_info or TwoStageMessage()
    kinds = list(settings.kinds or [])
    stages = list(family.stage_of_kind or ["both"] * len(kinds))
    memory = list(family.kv_tokens or [0.0] * len(kinds))
    sizes = [host.memory_tokens for host in hosts if host.memory_tokens > 0]
    memory.append(sum(sizes) / len(sizes) if sizes else OPENAI_MEMORY_TOKENS)
    family = msgspec.structs.replace(family, stage_of_kind=[*stages, "both"], kv_tokens=memory)
    endpoints = tuple(
        Endpoint(
            host.id,
            0,
            host.weight,
            settings.zone,
            EndpointState.HEALTHY,
            len(kinds),
            None,
            is_zone_known=False,
            is_cell_known=False,
        )
        for host in hosts
    )
    return msgspec.structs.replace(settings, family_info=family, kinds=[*kinds, OPENAI_KIND]), endpoints


# --- values ---


def parse_address(text: str) -> Address:
    """Parses `host:port`, with an IPv6 host in brackets.

    Raises:
        ConfigError: The text has another form.
    """
    host, _, port = text.rpartition(":")
    if not host or not port.isdigit():
        raise ConfigError(f"{text!r} is not of the form host:port")
    return host.strip("[]"), int(port)


def parse_optional_address(key: str, text: str | None) -> Address | None:
    """Parses an address; returns None if it is missing or empty.

    Raises:
        ConfigError: The text is not an address; the error names the key.
    """
    try:
        return parse_address(text) if text else None
    except ConfigError as error:
        raise ConfigError(f"{key}: {error}") from None


def parse_seed(text: str) -> int:
    """Parses a hexadecimal number.

    Raises:
        ConfigError: The text is not a hexadecimal number.
    """
    try:
        return int(text, 16)
    except ValueError:
        raise ConfigError(f"seed: {text[:MAX_SHOWN_VALUE]!r} is not a hexadecimal number") from None


def parse_descriptor(text: str) -> int | None:
    """Parses the number of an inherited file descriptor; returns None for an empty text.

    Raises:
        ConfigError: The text is not a number.
    """
    if text and not text.isdigit():
        raise ConfigError(f"NODE_INHERITED_FD: {text!r} is not a file descriptor")
    return int(text) if text else None


def _check_limits(limits: MachineLimits) -> None:
    if limits.sockets < MIN_SOCKETS or limits.memory_mb <= 0:
        raise ConfigError(f"limits: at least {MIN_SOCKETS} sockets and some memory are needed, not {limits}")


def _apply_environment(node: NodeConfig, *, is_reload: bool) -> None:
    node.listen = os.environ.get("NODE_LISTEN") or node.listen
    discovery_at_start = os.environ.get("NODE_DISCOVERY", "")
    node.discovery = (is_reload and node.discovery) or discovery_at_start or node.discovery
    node.mgmt = os.environ.get("NODE_MGMT") or node.mgmt
    node.name = os.environ.get("NODE_NAME") or node.name


def _load_operator_file(file: str, node: NodeConfig | None) -> Config:
    from violetstack.language import compiling

    compiled, warnings = compiling.load(file, known_names(node) if node is not None else None)
    operator = compiled.file
    if node is None:
        if operator.settings is None:
            raise OperatorConfigError(f"{file}: no class is defined, and no NODE_CONFIG defines any")
        node = NodeConfig(
            settings=operator.settings,
            seed=secrets.token_hex(8),
            listen=operator.platform,
            discovery=operator.discovery,
            limits=MachineLimits(operator.cores, operator.memory_mb, operator.descriptors),
        )
    return Config(node, operator, compiled.plan, tuple(warnings), compiled.levels)
