"""What a dispatcher is told at its start, from the file that NODE_CONFIG names."""

from __future__ import annotations

import os
import secrets
from pathlib import Path

import msgspec

from violetstack import interface as t
from violetstack.chat_config import BadChatConfig, ChatConfig, ChatFile, PlainHost, load_chat
from violetstack.facts import Malformed, WFacts, WFamily, settings_of
from violetstack.protocol.discovery import WTargets

Address = tuple[str, int]
LEAST_SOCKETS = 48


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


PLAIN_KIND = "openai"
PLAIN_MEMORY_TOKENS = 100_000.0


def with_plain_hosts(facts: WFacts, hosts: list[PlainHost]) -> tuple[WFacts, tuple[t.Entry, ...]]:
    """The settings with one more kind, for the chat file's own hosts, and these hosts as list entries."""
    if not hosts:
        return facts, ()
    family = facts.family_info or WFamily()
    kinds = list(facts.kinds or [])
    stages = list(family.stage_of_kind or ["both"] * len(kinds))
    memory = list(family.kv_tokens or [0.0] * len(kinds))
    sizes = [host.memory_tokens for host in hosts if host.memory_tokens > 0]
    memory.append(sum(sizes) / len(sizes) if sizes else PLAIN_MEMORY_TOKENS)
    family = msgspec.structs.replace(family, stage_of_kind=[*stages, "both"], kv_tokens=memory)
    entries = tuple(
        t.Entry(host.id, 0, host.weight, facts.zone, t.ServerState.HEALTHY, len(kinds), None)
        for host in hosts
    )
    return msgspec.structs.replace(facts, family_info=family, kinds=[*kinds, PLAIN_KIND]), entries


class Config:
    def __init__(self, told: WConfig, chat: ChatFile | None = None) -> None:
        self.told, self.limits = told, told.limits
        if told.limits.sockets < LEAST_SOCKETS or told.limits.memory_mb <= 0:
            raise BadConfig(f"limits: nothing can be served with {told.limits}")
        self.facts, self.plain = with_plain_hosts(told.settings, chat.hosts if chat is not None else [])
        self.settings: t.Settings = settings_of(self.facts, int(told.seed, 16))
        self.chat = ChatConfig(chat, self.facts) if chat is not None else None
        self.listen = address(told.listen) if told.listen else None
        self.discovery = address(told.discovery) if told.discovery else None
        self.peer_listen = address(told.peer_listen) if told.peer_listen else None
        self.peers = [address(peer) for peer in told.peers]
        rules, limits = told.settings.rules, told.settings.limits
        within = rules.stop_sending_within if rules is not None else None
        self.drain_grace_ms = 250.0 if within is None else within
        idle = limits.idle_close if limits is not None else None
        self.idle_close_ms = idle or 30_000.0


def load(path: str, chat_path: str | None = None, *, again: bool = False) -> Config:
    """From the file that NODE_CONFIG names, the chat front's file, or both.

    Read `again`, the file's own discovery counts: the environment is that of the start, and may be old.
    """
    try:
        chat = load_chat(chat_path) if chat_path else None
        if path:
            told = msgspec.json.decode(Path(path).read_bytes(), type=WConfig)
            told.listen = os.environ.get("NODE_LISTEN") or told.listen
            started_with = os.environ.get("NODE_DISCOVERY", "")
            told.discovery = (again and told.discovery) or started_with or told.discovery
            told.name = os.environ.get("NODE_NAME") or told.name
        elif chat is not None:
            if chat.settings is None:
                raise BadConfig(f"{chat_path}: settings are missing, and no NODE_CONFIG brings them")
            told = WConfig(settings=chat.settings, seed=secrets.token_hex(8))
        else:
            raise BadConfig("NODE_CONFIG names no file, and no chat file is given")
        return Config(told, chat)
    except (OSError, ValueError, msgspec.MsgspecError, Malformed, BadChatConfig) as error:
        raise BadConfig(f"{path or chat_path}: {error}") from None
