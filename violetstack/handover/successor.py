"""What the other processes of this dispatcher have left, and what follows for this one."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from violetstack.admin.cordons import Cordon
from violetstack.handover.record import Record

ALIVE_MS = 2_500.0  # a process says far more often that it lives; one silent for so long died


class Succession:
    """`born` orders the processes: whoever started later is the heir of those before."""

    def __init__(self, owner: str, born: float) -> None:
        self.owner = owner
        self.born = born
        self._others: dict[str, Record] = {}
        self._beats: dict[str, float] = {}

    def heard(self, records: Iterable[Record], beats: Mapping[str, float]) -> None:
        """`beats`: when each other process last was heard of. Whoever is not among them has left nothing."""
        for record in records:
            if record.owner != self.owner:
                self._others[record.owner] = record
        self._others = {owner: record for owner, record in self._others.items() if owner in beats}
        self._beats = dict(beats)

    def newest(self) -> Record | None:
        """What to begin with."""
        return max(self._others.values(), key=lambda record: record.at, default=None)

    def latest_cordons(self) -> dict[str, Cordon]:
        """Of each host the latest call."""
        cordons: dict[str, Cordon] = {}
        for record in self._others.values():
            for server, cordon in record.cordons.items():
                if server not in cordons or cordon.changed_ms > cordons[server].changed_ms:
                    cordons[server] = cordon
        return cordons

    def alive(self, now: float) -> list[Record]:
        return [r for owner, r in self._others.items() if self._beats.get(owner, 0.0) > now - ALIVE_MS]

    def heir(self, now: float) -> Record | None:
        """A later process that takes clients: from then on this one need not."""
        later = [r for r in self.alive(now) if r.serving and (r.born, r.owner) > (self.born, self.owner)]
        return max(later, key=lambda r: r.born, default=None)

    def company(self, now: float) -> bool:
        """Does another process share the limits now?"""
        return bool(self.alive(now))
