"""Where the answer to a request is lost, who sends the request again, and what its class allows.

A cell is one request: the front that takes it, its class, the API of the hosts, the way in which answers to
it are lost, and how its client sends it again, if at all.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

from violetstack.rehearsal.chat_event_cells import Front, HostApi

WINDOW_S = 2.0
"""For so long hosts know a key."""
GIVE_UP_S = 3.0
"""For so long the client of a request that may not be repeated freely waits for its first token."""


class Effect(Enum):
    """What the settings say of a class, by the name of the class."""

    REPEATABLE = "consulta"
    KEYED_ALL = "orden-all"
    KEYED_ZONE = "orden-zone"
    KEYED_CELL = "orden-cell"
    ONCE = "orden"

    @property
    def is_keyed(self) -> bool:
        """Whether hosts know repeats of its requests by a key."""
        return self in (Effect.KEYED_ALL, Effect.KEYED_ZONE, Effect.KEYED_CELL)


class Loss(Enum):
    """How the answer to an attempt is lost."""

    NO_CONNECTION = "no connection"
    SENDING = "reset while the request is sent"
    NO_HEAD = "no head"
    PART_OF_HEAD = "a part of the head"
    SERVER_ERROR = "500"
    NO_EVENT = "no first event"
    AFTER_EVENTS = "after events"
    HANGS = "the host hangs"
    UNLISTED = "the host has gone from the list"


AT_HOST = (Loss.NO_HEAD, Loss.PART_OF_HEAD, Loss.SERVER_ERROR, Loss.NO_EVENT, Loss.AFTER_EVENTS, Loss.HANGS)
BY_CONNECTION = (Loss.NO_CONNECTION, Loss.SENDING)


class Sender(Enum):
    """Who sends the request again."""

    CORE = "the dispatcher alone"
    SAME_KEY_PENDING = "the client, same key, while the first is pending"
    SAME_KEY_AFTER_FAILURE = "the client, same key, after a failure"
    SAME_KEY_AFTER_ANSWER = "the client, same key, after an answer"
    SAME_KEY_AFTER_WINDOW = "the client, same key, after the window"
    SAME_KEY_AFTER_RESTART = "the client, same key, after a failure and a restart of the dispatcher"
    SAME_KEY_AT_PEER = "the client, same key, at a peer after the dispatcher was killed"
    OTHER_KEY = "the client, another key, after a failure"
    OTHER_BODY = "the client, same key and another body"
    NO_KEY = "the client, without a key"


CLIENT_SENDERS = (
    Sender.SAME_KEY_PENDING,
    Sender.SAME_KEY_AFTER_FAILURE,
    Sender.SAME_KEY_AFTER_ANSWER,
    Sender.SAME_KEY_AFTER_WINDOW,
    Sender.OTHER_KEY,
    Sender.OTHER_BODY,
    Sender.NO_KEY,
)
"""Those of one process of one dispatcher."""


class Pair(Enum):
    """Two requests with other messages and the same key, which are not one request."""

    TENANTS = "two tenants"
    CLASSES = "two classes"
    API_KEYS = "two API keys"


@dataclass(frozen=True)
class Cell:
    """One request and what happens to it."""

    front: Front
    effect: Effect
    host_api: HostApi
    loss: Loss = Loss.NO_HEAD
    sender: Sender = Sender.CORE

    @property
    def name(self) -> str:
        """Name of the cell, for the report."""
        where = f"{self.front.value} front, {self.effect.value}, {self.host_api.value}"
        return f"{where}: lost: {self.loss.value}; sent again by {self.sender.value}"

    @property
    def loses_all_attempts(self) -> bool:
        """Whether every answer is lost until the client sends again; else the first one at most."""
        return self.sender not in (Sender.CORE, Sender.SAME_KEY_AFTER_ANSWER, Sender.OTHER_BODY)


IDEMPOTENCY = {Effect.REPEATABLE: "read_like", Effect.ONCE: "non_idempotent"}
GROUPS = {Effect.KEYED_ALL: "all", Effect.KEYED_ZONE: "zone", Effect.KEYED_CELL: "cell"}


def _class_settings(effect: Effect) -> dict[str, Any]:
    settings = {"name": effect.value, "aim": 1500.0, "give_up": GIVE_UP_S * 1000.0, "value": 1.0}
    if not effect.is_keyed:
        return {**settings, "idempotency": IDEMPOTENCY[effect]}
    key_settings = {"group": GROUPS[effect], "window": WINDOW_S * 1000.0}
    return {**settings, "idempotency": "idempotency_key", **key_settings}


SETTINGS: dict[str, Any] = {
    "classes": [_class_settings(effect) for effect in Effect],
    "zones": ["z1", "z2"],
}


def core_cells(host_api: HostApi, losses: tuple[Loss, ...]) -> Iterator[Cell]:
    """Yields the cells in which nobody but the dispatcher sends again."""
    for front in Front:
        for effect in Effect:
            for loss in losses:
                yield Cell(front, effect, host_api, loss)


def client_cells(host_api: HostApi, senders: tuple[Sender, ...]) -> Iterator[Cell]:
    """Yields the cells in which a client sends again what may not be repeated freely.

    Clients of the platform do so within the window, where all hosts know the key.
    """
    for sender in senders:
        for loss in _losses_before(sender):
            if sender is Sender.SAME_KEY_AFTER_FAILURE:
                yield Cell(Front.PLATFORM, Effect.KEYED_ALL, host_api, loss, sender)
            for effect in Effect:
                if effect is not Effect.REPEATABLE:
                    yield Cell(Front.CHAT, effect, host_api, loss, sender)


def _losses_before(sender: Sender) -> tuple[Loss, ...]:
    """Returns how answers are lost before a client sends again."""
    match sender:
        case Sender.SAME_KEY_PENDING | Sender.SAME_KEY_AT_PEER:
            return (Loss.HANGS,)
        case Sender.SAME_KEY_AFTER_ANSWER | Sender.OTHER_BODY:
            return (Loss.NO_HEAD,)  # the answer is not lost
        case _:
            return AT_HOST
