"""The phases of a start in the log, and what a state on disk gives it where the operator asks for one."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import trio

from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.protocol.discovery import WServer, WTargets
from violetstack.recovery.phases import Phase, Start, Step
from violetstack.router import LEARN_MS

if TYPE_CHECKING:
    from violetstack.handover.learned import Learned
    from violetstack.net.state_writer import Kept
    from violetstack.policy_api import Settings

# A sixth of the memory of what hosts take: from then on what was seen outweighs what was assumed.
FILL_MS = 2.0 * LEARN_MS


class Comeback:
    def __init__(self, nursery: trio.Nursery, kept: Kept | None, settings: Settings) -> None:
        self._nursery = nursery
        self._kept = kept
        self._most_ms = settings.max_retry_after_ms
        self._random = Random(settings.seed)
        self.start = Start(now_ms(), FILL_MS)

    def advice_ms(self, ms: float) -> float:
        """Guards a fleet that comes back against clients that return all at once: each gets its own time."""
        if self.listed or ms <= 0.0:  # a time is spread only where it may be longer than usual
            return ms
        if self.start.phase is Phase.UNKNOWN:  # nothing can be served before a list comes
            ms = max(ms, min(self._most_ms, FILL_MS))
        return ms * (0.5 + 0.5 * self._random.random())

    async def remembered(self, known: WTargets) -> WTargets:
        """The list to begin with: the configuration's, or what it and the disk tell together."""
        if self._kept is not None:
            known = await self._kept.remembered(known)
        self._log(self.start.recalled(now_ms(), len(known.servers)))
        return known

    def learned(self) -> Learned | None:
        return self._kept.learned() if self._kept is not None else None

    def recalled(self) -> None:
        self._log(self.start.learned(now_ms()))

    def told(self, rows: tuple[WServer, ...], version: int, *, full: bool, listed: int) -> None:
        """Discovery's word: at once for the phase, a second later at most for the disk."""
        step = self.start.told(now_ms(), listed)
        self._log(step)
        if step is not None and (due := self.start.due()) is not None:
            self._nursery.start_soon(self._fill, due)
        if self._kept is not None:
            self._kept.told(rows, version, full=full)

    @property
    def listed(self) -> bool:
        """Discovery has told."""
        return self.start.phase in (Phase.FILLING, Phase.FULL)

    async def stop(self) -> None:
        if self._kept is not None:
            await self._kept.stop()

    async def _fill(self, due: float) -> None:
        await trio.sleep(max(0.0, due - now_ms()) / 1000.0 + 0.001)
        self._log(self.start.tick(now_ms()))

    def _log(self, step: Step | None) -> None:
        if step is not None:
            log("recovery_phase_changed", old=step.old.value, new=step.new.value, why=step.why)
