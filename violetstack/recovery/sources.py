"""Which remembered hosts count, and as what.

A remembered host may have started anew since, and then it is cold: past the time in which a start goes unseen
its start is unknown, and counts as a start just now. So all fronts together put no more on it than on a cold
host, and the share grows with time; discovery's word, when it comes, settles it at once.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from violetstack.protocol.discovery import WServer

AHEAD_MS = 2_000.0  # clocks of one machine across a restart differ by less


class Trust(Enum):
    REMEMBERED = "remembered"  # told so short a time ago that nothing can have come between
    DOUBTFUL = "doubtful"  # it may have started anew
    REFUSED = "refused"


class Source(NamedTuple):
    """`at`: when discovery told these rows; None: not known, so as old as may be."""

    name: str
    at: float | None
    version: int
    servers: tuple[WServer, ...]


class Entry(NamedTuple):
    server: WServer
    trust: Trust
    why: str


def merged(sources: Iterable[Source], now: float, cold_ms: float, keep_ms: float) -> list[Entry]:
    """Each host once, by the source that heard of it last. `cold_ms`: how long a start stays cold."""
    ranked = sorted(sources, key=lambda s: s.at if s.at is not None else float("-inf"), reverse=True)
    found: dict[str, Entry] = {}
    newest_full = True
    for source in ranked:
        for server in source.servers:
            if server.id in found:
                continue
            entry = _judged(server, source, now, cold_ms, keep_ms)
            if not newest_full and entry.trust is not Trust.REFUSED and server.state == "active":
                # A newer list does not name it: it may be gone.
                entry = Entry(entry.server, Trust.REFUSED, f"{source.name}: not in a newer list")
            found[server.id] = entry
        newest_full = newest_full and not source.servers
    return _by_address(list(found.values()), now)


def _judged(server: WServer, source: Source, now: float, cold_ms: float, keep_ms: float) -> Entry:
    if source.at is not None and source.at > now + AHEAD_MS:
        # A clock that was set back: the list is as good as one of unknown age, its times tell nothing.
        return Entry(_started(server, now), Trust.DOUBTFUL, f"{source.name}: dated ahead")
    if source.at is None:
        return Entry(_started(server, now), Trust.DOUBTFUL, f"{source.name}: of unknown age")
    age = now - source.at
    if age > keep_ms:
        return Entry(server, Trust.REFUSED, f"{source.name}: {age / 1000.0:.0f} s old")
    if age > cold_ms:
        return Entry(_started(server, now), Trust.DOUBTFUL, f"{source.name}: {age / 1000.0:.0f} s old")
    return Entry(server, Trust.REMEMBERED, source.name)


def _started(server: WServer, now: float) -> WServer:
    return msgspec.structs.replace(server, started_ms=now)


def _by_address(entries: list[Entry], now: float) -> list[Entry]:
    """Guards against work for one host that reaches another: an address two have had is the later one's."""
    rows: list[Entry] = []
    holders: dict[str, str] = {}
    order = sorted(
        entries,
        key=lambda e: (e.trust is Trust.REFUSED, e.trust is Trust.DOUBTFUL, -min(e.server.started_ms, now)),
    )
    for entry in order:
        address = entry.server.addr
        holder = holders.get(address) if address else None
        if holder is not None and entry.trust is not Trust.REFUSED:
            rows.append(Entry(entry.server, Trust.REFUSED, f"{address} is {holder}'s now"))
            continue
        if address and entry.trust is not Trust.REFUSED:
            holders[address] = entry.server.id
        rows.append(entry)
    return rows
