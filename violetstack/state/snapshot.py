"""What is kept, and how the log's frames change it. Times are Unix milliseconds."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from violetstack.handover.learned import Learned
from violetstack.protocol.discovery import WServer
from violetstack.state.frames import Frame, frame

WHOLE = 1
LIST = 2
CHANGE = 3
LEARNED = 4


class Told(msgspec.Struct, frozen=True):
    """Discovery's rows, and when they were told."""

    at: float
    version: int
    servers: tuple[WServer, ...]


class Content(msgspec.Struct):
    """`heard_at`: when discovery last told anything; `learned` holds the time of its own."""

    heard_at: float = 0.0
    version: int = 0
    servers: dict[str, WServer] = {}
    learned: Learned | None = None

    def whole(self) -> bytes:
        return frame(WHOLE, msgspec.msgpack.encode(self))

    @property
    def at(self) -> float:
        """The latest time in it."""
        return max(self.heard_at, self.learned.at if self.learned is not None else 0.0)


def told(news: Told, *, full: bool) -> bytes:
    return frame(LIST if full else CHANGE, msgspec.msgpack.encode(news))


def known(learned: Learned) -> bytes:
    return frame(LEARNED, msgspec.msgpack.encode(learned))


def fold(content: Content, frames: Iterable[Frame]) -> str:
    """Changes it by each frame; returns why it stopped at one that it can't read, else nothing."""
    for each in frames:
        try:
            _one(content, each)
        except msgspec.MsgspecError as error:
            return f"a frame of kind {each.kind}: {error}"
    return ""


def apply(content: Content, news: Told, *, full: bool) -> None:
    if full:
        content.servers = {}
    for server in news.servers:
        if server.state == "left":
            content.servers.pop(server.id, None)
        else:
            content.servers[server.id] = server
    content.heard_at = news.at
    content.version = news.version


def _one(content: Content, each: Frame) -> None:
    if each.kind == WHOLE:
        found = msgspec.msgpack.decode(each.body, type=Content)
        content.heard_at = found.heard_at
        content.version = found.version
        content.servers = found.servers
        content.learned = found.learned
    elif each.kind in (LIST, CHANGE):
        apply(content, msgspec.msgpack.decode(each.body, type=Told), full=each.kind == LIST)
    elif each.kind == LEARNED:
        content.learned = msgspec.msgpack.decode(each.body, type=Learned)
    # Guards an older version after a newer one: what it does not know it passes over.
