"""Leave to restart: at most so many of a tier end at once.

A counting lease is as many duties as there are places; whoever holds any of them may go. A place is kept
until its lease is over, for whoever has gone is not back yet.
"""

from __future__ import annotations

from violetstack.lease.node import Member

ASKED_MS = 5_000.0  # who has not asked again for so long does not mean it any more


class Leave:
    def __init__(self, member: Member, places: int) -> None:
        self._member = member
        self.names = tuple(f"leave:{n}" for n in range(places))
        self.going = False  # it ends: what is held is kept
        self._asked_at: float | None = None

    def ask(self, now: float) -> None:
        """Stands in line for every place; what is won beyond the first goes back."""
        if self._asked_at is None:
            for name in self.names:
                self._member.want(name, own=True)
        self._asked_at = now

    def tick(self, now: float) -> None:
        """Guards the others against a place that is asked for and never used."""
        if self._asked_at is not None and not self.going and now >= self._asked_at + ASKED_MS:
            self._asked_at = None
            for name in self.names:
                self._member.drop(now, name)

    def held(self, now: float) -> str | None:
        """The place that this dispatcher has, if it has one."""
        mine = [name for name in self.names if self._member.holds(now, name)]
        for name in mine[1:]:
            self._member.drop(now, name)
        return mine[0] if mine else None

    def why_not(self, now: float) -> str:
        """For a person: what stands in the way."""
        rows = {row.name: row for row in self._member.tenures(now) if row.name in self.names}
        taken = [f"{name} is held by {row.holder}" for name, row in rows.items() if row.holder is not None]
        if len(taken) == len(self.names):
            return ", ".join(taken)
        return "no majority of the electors has answered yet"
