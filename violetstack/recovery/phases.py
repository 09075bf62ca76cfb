"""The phases of a start, as a table: what each admits, and what moves it on.

| phase | what is known | what is admitted | ends when |
| --- | --- | --- | --- |
| unknown | no host | nothing: requests are refused, with advice | a list is told or recalled |
| recalled | hosts that are remembered | work; doubtful hosts as if cold | discovery tells a whole list |
| filling | the list | work; cold hosts get this front's part of a stated sum | the fill time |
| full | list and learned speeds | work | the list is lost: none, or doubted |
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class Phase(Enum):
    UNKNOWN = "unknown"
    RECALLED = "recalled"
    FILLING = "filling"
    FULL = "full"


class Step(NamedTuple):
    old: Phase
    new: Phase
    why: str


class Start:
    """One start. `fill_ms`: after so long with the list told, what was seen outweighs what was assumed."""

    def __init__(self, now: float, fill_ms: float) -> None:
        self.phase = Phase.UNKNOWN
        self.began = now
        self._fill_ms = fill_ms
        self._told_at: float | None = None

    def recalled(self, now: float, hosts: int) -> Step | None:
        if hosts and self.phase is Phase.UNKNOWN:
            return self._to(Phase.RECALLED, f"{hosts} remembered hosts")
        return None

    def told(self, now: float, hosts: int) -> Step | None:
        """Discovery has told; `hosts`: how many are listed then."""
        if not hosts:
            self._told_at = None
            return self._to(Phase.UNKNOWN, "no host is listed") if self.phase is not Phase.UNKNOWN else None
        if self.phase in (Phase.UNKNOWN, Phase.RECALLED):
            self._told_at = now
            return self._to(Phase.FILLING, f"{hosts} hosts told")
        return None

    def learned(self, now: float) -> Step | None:
        """What a process before this one had learned is in use: there is nothing to fill."""
        return self._to(Phase.FULL, "what was learned is recalled") if self.phase is Phase.FILLING else None

    def tick(self, now: float) -> Step | None:
        told_at = self._told_at
        if self.phase is Phase.FILLING and told_at is not None and now >= told_at + self._fill_ms:
            return self._to(Phase.FULL, f"{(now - self.began) / 1000.0:.1f} s after the start")
        return None

    def due(self) -> float | None:
        """When `tick` has something to do."""
        told_at = self._told_at
        return told_at + self._fill_ms if self.phase is Phase.FILLING and told_at is not None else None

    def _to(self, phase: Phase, why: str) -> Step:
        old = self.phase
        self.phase = phase
        return Step(old, phase, why)
