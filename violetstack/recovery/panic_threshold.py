"""A list that loses most of its hosts at once, without a word that they left, is doubted for a while.

Guards against a discovery that lost its memory: an empty or a short list would take the fleet out of service,
though its hosts serve. Only where the operator's file sets a share: on the platform an unlisted host is gone.
What is told as leaving or left is never doubted, nor is a list that says the same again after the time.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from violetstack.protocol.discovery import WServer


class Doubted(NamedTuple):
    """`kept`: rows that count on as if just started; `until`: when the list counts as it is, Unix ms."""

    kept: tuple[WServer, ...]
    until: float


class Doubt:
    """`share`: of the active hosts that must be missing; `hold_ms`: for how long they count on."""

    def __init__(self, share: float, hold_ms: float) -> None:
        self._share = share
        self._hold_ms = hold_ms
        self._until: float | None = None

    def whole(self, now: float, before: Mapping[str, WServer], told: Iterable[WServer]) -> Doubted | None:
        """A whole list was told; `before` is what counted. None: it counts as it is."""
        named = {server.id for server in told}
        active = [server for server in before.values() if server.state == "active"]
        missing = [server for server in active if server.id not in named]
        if not missing or len(missing) < self._share * len(active):
            self._until = None
            return None
        if self._until is None:
            self._until = now + self._hold_ms
        if now >= self._until:
            self._until = None
            return None
        rows = (msgspec.structs.replace(server, started_ms=now) for server in missing)
        return Doubted(tuple(rows), self._until)
