"""Keeps this process's record in the shared folder, and takes what the others there tell."""

from __future__ import annotations

from collections.abc import Callable

import trio

from violetstack.admin.cordons import Cordons
from violetstack.admin.errors import NotRecordedError
from violetstack.handover.record import Record
from violetstack.handover.successor import Succession
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.records import Records
from violetstack.policy_api import EndpointUpdate

POLL_S = 0.1  # a call at the other process binds here well within the time that a drain has
BEAT_S = 0.5


class Handover:
    """`compose` makes the record; `told` takes news from a call at another process."""

    def __init__(
        self,
        records: Records,
        succession: Succession,
        cordons: Cordons,
        compose: Callable[[], Record],
        told: Callable[[EndpointUpdate], None],
        *,
        heirs: bool,
    ) -> None:
        self._records = records
        self.succession = succession
        self._cordons = cordons
        self._compose = compose
        self._told = told
        self._heirs = heirs
        self.changed = False  # something is to be recorded, though nobody waits for it
        self.company: Callable[[], None] = lambda: None  # another process came or went
        self._alone = True

    def begin(self) -> Record | None:
        """What a predecessor left, if it can be believed; its hosts out by hand are out here as well."""
        now = now_ms()
        self.succession.heard(*self._records.others(now))
        self._cordons.merge(self.succession.latest_cordons())
        record = self.succession.newest()
        log(
            "predecessor_state_read",
            predecessor=record.owner if record is not None else None,
            age_ms=round(now - record.at) if record is not None else None,
            hosts=len(record.servers) if record is not None else 0,
            out=self._cordons.active,
        )
        return record

    def write(self) -> None:
        """Raises NotRecordedError."""
        try:
            self._records.write(self._compose())
            self.changed = False
        except OSError as error:
            log("handover_record_failed", error=str(error))
            raise NotRecordedError(str(error)) from None

    @property
    def heir(self) -> Record | None:
        return self.succession.heir(now_ms())

    def leave(self) -> None:
        """A clean end: what an heir has read need not stay; without one the record waits for a successor."""
        if self.heir is not None:
            self._records.remove()

    async def run(self) -> None:
        beat = trio.current_time()
        while True:
            await trio.sleep(POLL_S)
            try:
                if self._heirs:  # elsewhere nobody else is of this dispatcher
                    self.look()
                due = trio.current_time() >= beat + BEAT_S
                if self.changed or (due and self._heirs):  # that it lives, and what it learned
                    self.write()
                if due:
                    beat = trio.current_time()
            except NotRecordedError:
                await trio.sleep(BEAT_S)
            except Exception as error:  # no record's failure ends the nursery
                log_rate_limited("handover_record_failed", error=repr(error))

    def look(self) -> None:
        """What the others have left since the last look."""
        now = now_ms()
        self.succession.heard(*self._records.others(now))
        cordons = self.succession.latest_cordons()
        news = self._cordons.merge(cordons)
        if news is not None:
            log("hosts_cordoned", out=self._cordons.active, by="another process")
            self._told(news)
            self.changed = True
        alone = not self.succession.company(now)
        if alone != self._alone:
            self._alone = alone
            log(
                "sibling_processes_changed", processes=[record.owner for record in self.succession.alive(now)]
            )
            self.company()
