"""Keeps this process's handover record up to date and applies the records of the other processes."""

from __future__ import annotations

from collections.abc import Callable

import trio

from violetstack.admin.cordons import Cordons
from violetstack.admin.errors import NotRecordedError
from violetstack.handover.record import HandoverRecord
from violetstack.handover.successor import SiblingProcesses
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.handover_directory import HandoverDirectory
from violetstack.policy_api import EndpointUpdate

SCAN_INTERVAL_S = 0.1  # cordons set in another process take effect well within the drain grace period
WRITE_INTERVAL_S = 0.5


class HandoverService:
    """Exchanges records with the other processes of this dispatcher.

    Attributes:
        siblings: The other processes, according to the records read last.
    """

    def __init__(
        self,
        directory: HandoverDirectory,
        siblings: SiblingProcesses,
        cordons: Cordons,
        create_record: Callable[[], HandoverRecord],
        *,
        on_cordons_changed: Callable[[EndpointUpdate], None],
        on_siblings_changed: Callable[[], None],
        hot_restart: bool,
    ) -> None:
        """Creates a service that has not read any records.

        Args:
            directory: The directory of the records.
            siblings: Receives the records of the other processes.
            cordons: The hosts that operators have cordoned; merged with the cordons of the other processes.
            create_record: Returns the current record of this process.
            on_cordons_changed: Called with the endpoint update that results from cordons of other processes.
            on_siblings_changed: Called when the first other process appears, and when the last one has ended.
            hot_restart: Whether another process can run at the same time, that is, whether the listener is
                inherited. If not, the records of other processes are read only once, by `load_predecessor`.
        """
        self.siblings = siblings
        self._directory = directory
        self._cordons = cordons
        self._create_record = create_record
        self._on_cordons_changed = on_cordons_changed
        self._on_siblings_changed = on_siblings_changed
        self._hot_restart = hot_restart
        self._write_requested = False
        self._had_siblings = False

    def load_predecessor(self) -> HandoverRecord | None:
        """Reads the records of the other processes and applies their cordons; returns the latest record."""
        now = now_ms()
        self._read_records(now)
        self.siblings.order_after_known()
        self._cordons.merge(self.siblings.latest_cordons())
        record = self.siblings.latest_record()
        log(
            "predecessor_state_read",
            predecessor=record.process_id if record is not None else None,
            age_ms=round(now - record.written_at_ms) if record is not None else None,
            hosts=len(record.endpoints) if record is not None else 0,
            cordoned=self._cordons.active,
        )
        return record

    def request_write(self) -> None:
        """Makes `run` write the record in its next iteration."""
        self._write_requested = True

    def write_record(self) -> None:
        """Writes the record now.

        Raises:
            NotRecordedError: The record cannot be written.
        """
        try:
            self._directory.write(self._create_record())
            self._write_requested = False
        except OSError as error:
            log("handover_record_failed", error=str(error))
            raise NotRecordedError(str(error)) from None

    @property
    def successor(self) -> HandoverRecord | None:
        """The process that accepts clients instead of this one, according to the records read last."""
        return self.siblings.successor(now_ms())

    def remove_record(self) -> None:
        """Deletes the record if there is a successor; otherwise it stays for the next process."""
        if self.successor is not None:
            self._directory.remove()

    async def run(self) -> None:
        """Reads and writes records until cancelled."""
        written_at = trio.current_time()
        while True:
            await trio.sleep(SCAN_INTERVAL_S)
            try:
                if self._hot_restart:
                    self.refresh()
                due = trio.current_time() >= written_at + WRITE_INTERVAL_S
                # The periodic write tells other processes that this one is alive and passes on its estimates.
                if self._write_requested or (due and self._hot_restart):
                    self.write_record()
                if due:
                    written_at = trio.current_time()
            except NotRecordedError:
                await trio.sleep(WRITE_INTERVAL_S)
            except Exception as error:  # an unexpected error must not end the service
                log_rate_limited("handover_record_failed", error=repr(error))

    def refresh(self) -> None:
        """Reads the changed records and applies them."""
        now = now_ms()
        self._read_records(now)
        update = self._cordons.merge(self.siblings.latest_cordons())
        if update is not None:
            log("hosts_cordoned", out=self._cordons.active, by="another process")
            self._on_cordons_changed(update)
            self.request_write()
        alive = self.siblings.alive(now)
        if bool(alive) != self._had_siblings:
            self._had_siblings = bool(alive)
            log("sibling_processes_changed", processes=[record.process_id for record in alive])
            self._on_siblings_changed()

    def _read_records(self, now: float) -> None:
        scan = self._directory.scan(now)
        self.siblings.update(scan.changed, scan.last_seen_ms)
