"""What the decision module has learned, as one process leaves it for the next. Nothing is decided here.

Guards a new version against starting as if nobody had been served yet: a front that has heard nothing sends
cold hosts a trickle, gives every tenant its whole share at once and meets each bad host anew.
"""

from __future__ import annotations

import msgspec

from violetstack.estimation.decay import DecayingSum, RecentSamples
from violetstack.router import LEARN_MS, Router, Server


class Sum(msgspec.Struct, frozen=True, array_like=True):
    """A fading sum, and since when it has been added to; times are Unix milliseconds."""

    amount: float
    since: float | None


class Known(msgspec.Struct, frozen=True, array_like=True):
    """Of one server; it holds for the start that it was learned of."""

    started_ms: float | None
    cleared: Sum
    busy_ms: Sum
    left: Sum
    streak: int
    blamed_at: float
    tickets: tuple[float, float]  # left in the bucket, and when
    share: float | None
    share_at: float


class Learned(msgspec.Struct, frozen=True):
    at: float
    sums: dict[str, Sum]
    begun: dict[str, Sum]  # by scope
    reads: list[tuple[float, float]]
    waits: list[tuple[float, float]]
    tenants: dict[int, tuple[float, float]]
    servers: dict[str, Known]


def _sums(router: Router) -> dict[str, DecayingSum]:
    fleet = router.fleet
    return {
        "cleared": fleet.cleared,
        "busy_ms": fleet.busy_ms,
        "claimed": fleet.claimed,
        "found": fleet.found,
        "read": fleet.taken[True],
        "written": fleet.taken[False],
    }


def _told(fading: DecayingSum, now: float) -> Sum:
    return Sum(fading.value_at(now), fading.since_ms)


def _known(server: Server, now: float) -> Known:
    return Known(
        server.entry.started_ms,
        _told(server.cleared, now),
        _told(server.busy_ms, now),
        _told(server.left, now),
        server.streak,
        server.blamed_at,
        (server.tickets.level, server.tickets.refilled_at),
        server.share,
        server.share_at,
    )


def learned(router: Router, now: float) -> Learned:
    fleet = router.fleet
    return Learned(
        at=now,
        sums={name: _told(fading, now) for name, fading in _sums(router).items()},
        begun={scope: _told(fading, now) for scope, fading in fleet.recent.items()},
        reads=list(fleet.reads.samples),
        waits=list(fleet.waits.samples),
        tenants={n: (bucket.level, bucket.refilled_at) for n, bucket in router.buckets.items()},
        servers={name: _known(server, now) for name, server in fleet.servers.items() if server.usable},
    )


def _set(fading: DecayingSum, told: Sum, at: float) -> None:
    fading.total = told.amount
    fading.as_of_ms = at
    fading.since_ms = told.since


def recall(router: Router, told: Learned) -> int:
    """Into a module that knows the list already; how many of its servers it now knows more of."""
    fleet = router.fleet
    servers = 0
    for name, fading in _sums(router).items():
        if name in told.sums:
            _set(fading, told.sums[name], told.at)
    for scope, row in told.begun.items():
        _set(fleet.recent.setdefault(scope, DecayingSum(2 * LEARN_MS)), row, told.at)
    for recent, rows in ((fleet.reads, told.reads), (fleet.waits, told.waits)):
        _fill(recent, rows)
    for n, level in told.tenants.items():
        if n in router.buckets:
            router.buckets[n].level, router.buckets[n].refilled_at = level
    for name, known in told.servers.items():
        server = fleet.servers.get(name)
        if server is None or server.entry.started_ms != known.started_ms:
            continue
        servers += 1
        for mine, theirs in (
            (server.cleared, known.cleared),
            (server.busy_ms, known.busy_ms),
            (server.left, known.left),
        ):
            _set(mine, theirs, told.at)
        server.streak = known.streak
        server.blamed_at = known.blamed_at
        server.tickets.level, server.tickets.refilled_at = known.tickets
        server.share = known.share
        server.share_at = known.share_at
    return servers


def _fill(recent: RecentSamples, rows: list[tuple[float, float]]) -> None:
    for at, took in rows:
        recent.add(at, took)
