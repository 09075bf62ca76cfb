"""Determines from the handover records which processes of a dispatcher run, and which of them takes over."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from violetstack.admin.cordons import Cordon
from violetstack.handover.record import HandoverRecord

ALIVE_TIMEOUT_MS = 2_500.0  # five times the interval at which a process writes its record


class SiblingProcesses:
    """The other processes of one dispatcher on this machine.

    Processes are ordered by their start time: the successor of a process is the latest one that started after
    it and accepts clients. Start times are Unix milliseconds, adjusted by `order_after_known`; the times at
    which records were last written are those of this process's monotonic clock.
    """

    def __init__(self, process_id: str, started_at_ms: float) -> None:
        """Starts without other processes.

        Args:
            process_id: The random name of this process.
            started_at_ms: When this process started.
        """
        self.process_id = process_id
        self.started_at_ms = started_at_ms
        self._records: dict[str, HandoverRecord] = {}
        self._last_seen_ms: dict[str, float] = {}

    def update(self, changed: Iterable[HandoverRecord], last_seen_ms: Mapping[str, float]) -> None:
        """Updates the records.

        Args:
            changed: The records that have changed.
            last_seen_ms: When each process that still has a record last wrote it. The record of a process
                that is missing here is dropped.
        """
        for record in changed:
            if record.process_id != self.process_id:
                self._records[record.process_id] = record
        self._records = {name: record for name, record in self._records.items() if name in last_seen_ms}
        self._last_seen_ms = dict(last_seen_ms)

    def order_after_known(self) -> None:
        """Orders this process after all processes known so far, whatever start times they have recorded.

        If the wall clock was stepped back, the predecessor would otherwise have the later start time and be
        taken for the successor.
        """
        latest = max((record.started_at_ms for record in self._records.values()), default=0.0)
        self.started_at_ms = max(self.started_at_ms, latest + 1.0)

    def latest_record(self) -> HandoverRecord | None:
        """Returns the latest record of the process that started last, whether or not it is alive."""
        return max(
            self._records.values(),
            key=lambda record: (record.started_at_ms, record.written_at_ms),
            default=None,
        )

    def latest_cordons(self) -> dict[str, Cordon]:
        """Returns for each host the latest operator call that any process has recorded."""
        latest: dict[str, Cordon] = {}
        for record in self._records.values():
            for host, cordon in record.cordons.items():
                if host not in latest or cordon.changed_ms > latest[host].changed_ms:
                    latest[host] = cordon
        return latest

    def alive(self, now_ms: float) -> list[HandoverRecord]:
        """Returns the records of the processes that have written one within the last ALIVE_TIMEOUT_MS."""
        oldest_ms = now_ms - ALIVE_TIMEOUT_MS
        return [r for name, r in self._records.items() if self._last_seen_ms.get(name, 0.0) > oldest_ms]

    def any_alive(self, now_ms: float) -> bool:
        """Returns whether another process is alive, which then shares the machine's limits with this one."""
        return bool(self.alive(now_ms))

    def successor(self, now_ms: float) -> HandoverRecord | None:
        """Returns the live process that accepts clients in place of this one, None if there is none."""
        own_start = (self.started_at_ms, self.process_id)
        later = [r for r in self.alive(now_ms) if r.accepting and (r.started_at_ms, r.process_id) > own_start]
        return max(later, key=lambda record: record.started_at_ms, default=None)
