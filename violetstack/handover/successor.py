"""Which other processes of this dispatcher run, and which of them takes over, derived from their records."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from violetstack.admin.cordons import Cordon
from violetstack.handover.record import HandoverRecord

ALIVE_TIMEOUT_MS = 2_500.0  # five times the interval at which a process writes its record


class SiblingProcesses:
    """The other processes of one dispatcher on this machine.

    Processes are ordered by their start: the successor of a process is the latest that started after it and
    accepts clients. Starts are Unix milliseconds as the processes have ordered them (`start_after_known`);
    the times at which records were seen are of this process's monotonic clock.
    """

    def __init__(self, process_id: str, started_at_ms: float) -> None:
        """Creates a view without any other process.

        Args:
            process_id: Random name of this process.
            started_at_ms: When this process started.
        """
        self.process_id = process_id
        self.started_at_ms = started_at_ms
        self._records: dict[str, HandoverRecord] = {}
        self._last_seen_ms: dict[str, float] = {}

    def update(self, changed: Iterable[HandoverRecord], last_seen_ms: Mapping[str, float]) -> None:
        """Takes the records that changed, and when each process that still has one last wrote it.

        The record of a process that is missing in `last_seen_ms` is dropped.
        """
        for record in changed:
            if record.process_id != self.process_id:
                self._records[record.process_id] = record
        self._records = {name: record for name, record in self._records.items() if name in last_seen_ms}
        self._last_seen_ms = dict(last_seen_ms)

    def order_after_known(self) -> None:
        """Orders this process behind those that were there before it, whatever the wall clock showed them.

        After a step back, the predecessor's start would be the later one: it would count as the successor.
        """
        latest = max((record.started_at_ms for record in self._records.values()), default=0.0)
        self.started_at_ms = max(self.started_at_ms, latest + 1.0)

    def latest_record(self) -> HandoverRecord | None:
        """The last record of the process that started last, whether or not it is alive."""
        return max(
            self._records.values(),
            key=lambda record: (record.started_at_ms, record.written_at_ms),
            default=None,
        )

    def latest_cordons(self) -> dict[str, Cordon]:
        """By host, the latest operator call that any process has recorded."""
        latest: dict[str, Cordon] = {}
        for record in self._records.values():
            for host, cordon in record.cordons.items():
                if host not in latest or cordon.changed_ms > latest[host].changed_ms:
                    latest[host] = cordon
        return latest

    def alive(self, now_ms: float) -> list[HandoverRecord]:
        """Records of the processes that wrote one within the last ALIVE_TIMEOUT_MS."""
        oldest_ms = now_ms - ALIVE_TIMEOUT_MS
        return [r for name, r in self._records.items() if self._last_seen_ms.get(name, 0.0) > oldest_ms]

    def any_alive(self, now_ms: float) -> bool:
        """Whether another process uses a part of the machine's limits."""
        return bool(self.alive(now_ms))

    def successor(self, now_ms: float) -> HandoverRecord | None:
        """The live process that accepts clients in this one's place, None if there is none."""
        own_start = (self.started_at_ms, self.process_id)
        later = [r for r in self.alive(now_ms) if r.accepting and (r.started_at_ms, r.process_id) > own_start]
        return max(later, key=lambda record: record.started_at_ms, default=None)
