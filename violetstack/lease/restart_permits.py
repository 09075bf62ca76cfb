"""Restart permits: at most a given number of a tier's dispatchers restart at the same time.

The permits are a counting semaphore with one lease for each permit; the holder of any of these leases may
restart. A permit is not released when its holder exits: it expires with its lease, while the dispatcher
starts again.
"""

from __future__ import annotations

from violetstack.lease.node import LeaseNode

LEASE_NAME_PREFIX = "leave:"  # hashed into the lease id on the wire, and shown to operators
REQUEST_TIMEOUT_MS = 5_000.0  # a request that is not repeated within this time is withdrawn


class RestartPermits:
    """One dispatcher's requests for a permit. Times are monotonic milliseconds.

    Attributes:
        names: The names of the leases that stand for the permits.
    """

    def __init__(self, node: LeaseNode, permits: int) -> None:
        """Starts without a request; `permits` is the number of permits in the tier."""
        self._node = node
        self.names = tuple(f"{LEASE_NAME_PREFIX}{n}" for n in range(permits))
        self._restarting = False
        self._requested_at: float | None = None

    def request(self, now: float) -> None:
        """Requests a permit by a campaign for the lease of each one, or repeats the request."""
        if self._requested_at is None:
            for name in self.names:
                self._node.campaign(name, unconditional=True)
        self._requested_at = now

    def keep_until_exit(self) -> None:
        """Keeps the permit until this process exits, whether or not the request is repeated."""
        self._restarting = True

    def tick(self, now: float) -> None:
        """Withdraws a request that was not repeated in time, so that no permit is held without use."""
        if self._requested_at is None or self._restarting:
            return
        if now >= self._requested_at + REQUEST_TIMEOUT_MS:
            self._requested_at = None
            for name in self.names:
                self._node.withdraw(now, name)

    def held_permit(self, now: float) -> str | None:
        """Returns the name of the permit that this dispatcher holds, if any, and releases surplus ones."""
        held_names = [name for name in self.names if self._node.holds(now, name)]
        for name in held_names[1:]:
            self._node.withdraw(now, name)
        return held_names[0] if held_names else None

    def denial_reason(self, now: float) -> str:
        """Returns the reason why this dispatcher has no permit, for operators."""
        views = [view for view in self._node.views(now) if view.name in self.names]
        taken = [f"{view.name} is held by {view.holder}" for view in views if view.holder is not None]
        if len(taken) == len(self.names):
            return ", ".join(taken)
        return "no majority of the acceptors has answered yet"
