"""Faults to plant into the leases, each of which a check has to find."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

from violetstack.lease import elector as granting
from violetstack.lease.candidate import Candidate
from violetstack.lease.elector import Elector
from violetstack.lease.messages import Ballot, Item

Real = Callable[..., Any]


def _reused(real: Real) -> Real:
    return lambda self, now, to, fence: real(self, now, to, max(1, fence - 1))


def _one_too_few(real: Real) -> Real:
    def init(self: Candidate, *args: Any, **more: Any) -> None:
        real(self, *args, **more)
        self._majority -= 1

    return init


def _same_ballots(real: Real) -> Real:
    def init(self: Candidate, duty: int, me: int, *args: Any, **more: Any) -> None:
        real(self, duty, me & ~0xFFF, *args, **more)

    return init


def _old_accepted(real: Real) -> Real:
    def on(self: Elector, now: float, item: Item) -> Any:
        if (state := self.duties.get(item.duty)) is not None:
            state.promised = Ballot(0, 0)
        return real(self, now, item)

    return on


PLANTED: dict[str, tuple[Any, str, Callable[[Real], Real]]] = {
    "no silence after a restart": (Elector, "speaks", lambda real: lambda self, now: True),
    "no margin for the clocks": (granting, "longest", lambda real: lambda length_ms: length_ms),
    "an elector's time is too short": (granting, "longest", lambda real: lambda length_ms: length_ms * 0.6),
    "a number is used again": (Candidate, "_propose", _reused),
    "a majority is one too few": (Candidate, "__init__", _one_too_few),
    "two have the same ballots": (Candidate, "__init__", _same_ballots),
    "it holds past its time": (Candidate, "holds", lambda real: lambda self, now: now < self.until + 300.0),
    "an old ballot is accepted": (Elector, "on", _old_accepted),
    "a promise is forgotten at once": (Elector, "forget", lambda real: lambda self, now: self.duties.clear()),
}


# Found by chance within a minute of virtual time; the others take every order of events (`exhaustive`).
BY_CHANCE = (
    "no silence after a restart",
    "an elector's time is too short",
    "a number is used again",
    "a majority is one too few",
    "it holds past its time",
    "an old ballot is accepted",
    "a promise is forgotten at once",
)


@contextmanager
def planted(fault: str) -> Iterator[None]:
    owner, name, change = PLANTED[fault]
    real = getattr(owner, name)
    setattr(owner, name, change(real))
    try:
        yield
    finally:
        setattr(owner, name, real)
