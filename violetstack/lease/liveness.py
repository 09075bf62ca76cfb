"""Who still lives, by watching its mark change: no clock is compared with another machine's.

A mark is whatever its owner changes while it lives. Whoever watches counts, on its own clock, for how long it
has seen one mark unchanged; the owner counts its lease from before it wrote. Both clocks may be 1% off.
"""

from __future__ import annotations

from violetstack.lease.elector import longest

MOST_WATCHED = 4_096


class Watched:
    """`length`: an owner's lease, in the caller's unit of time."""

    def __init__(self, length: float) -> None:
        self._longest = longest(length)
        self._seen: dict[str, tuple[object, float]] = {}

    def see(self, before: float, after: float, owner: str, mark: object) -> bool:
        """Takes its mark (None: it has none), which was read between the two times; True if the owner has
        been silent for its lease, as far as was seen from here. Whoever is seen for the first time lives."""
        last = self._seen.get(owner)
        if last is None or last[0] != mark:
            self._seen.pop(owner, None)
            self._seen[owner] = (mark, after)
            if len(self._seen) > MOST_WATCHED:
                del self._seen[next(iter(self._seen))]  # seen again, it lives for another lease
            return False
        return before - last[1] >= self._longest
