"""A lease that a node campaigns for, and the view of it that operators get."""

from __future__ import annotations

from typing import NamedTuple

from violetstack.lease.messages import dispatcher_number_of
from violetstack.lease.proposer import HolderChange, Proposer
from violetstack.lease.retry_schedule import ATTEMPT_TIMEOUT_MS


class LeaseView(NamedTuple):
    """One lease as this dispatcher sees it.

    Attributes:
        name: The lease's name.
        holder: The dispatcher number of the holder; None if there is no holder or it is not known.
        held_here: Whether this dispatcher holds the lease.
        fencing_token: The fencing token under which this dispatcher holds the lease or last held it.
        remaining_ms: The time until the lease expires.
        changed_at: When this dispatcher last acquired or lost the lease; None if it never did.
        reason: Why it acquired or lost the lease.
    """

    name: str
    holder: int | None
    held_here: bool
    fencing_token: int
    remaining_ms: float
    changed_at: float | None
    reason: str


class Candidacy:
    """A lease that this node campaigns for.

    Attributes:
        name: The lease's name.
        proposer: The proposer that acquires and renews the lease.
        unconditional: Whether the node campaigns for the lease also while it is not eligible.
        cooldown_until: After a resignation, the time before which the node does not acquire the lease again;
            None outside of such a cooldown.
        changed_at: When this node last acquired or lost the lease; None if it never did.
        reason: Why it acquired or lost the lease.
    """

    def __init__(self, name: str, proposer: Proposer, *, unconditional: bool) -> None:
        """Creates a candidacy for a lease that is not held."""
        self.name = name
        self.proposer = proposer
        self.unconditional = unconditional
        self.cooldown_until: float | None = None
        self.changed_at: float | None = None
        self.reason = ""

    def next_tick_at(self) -> float:
        """Returns when the proposer has to act next, or the cooldown ends, whichever is earlier."""
        at = self.proposer.next_tick_at()
        return at if self.cooldown_until is None else min(at, self.cooldown_until)

    def record_change(self, now: float, change: HolderChange) -> None:
        """Records, for `view`, that this node acquired or lost the lease."""
        self.changed_at = now
        self.reason = change.reason

    def view(self, now: float, number: int) -> LeaseView:
        """Returns the view of the lease for operators.

        Args:
            now: The current time.
            number: The dispatcher number of this node.
        """
        proposer = self.proposer
        holds = proposer.holds(now)
        if holds:
            holder: int | None = number
            remaining_ms = proposer.remaining_ms(now)
        else:
            holder = self._observed_number(now)
            remaining_ms = max(0.0, proposer.observed_holder.expires_at - now)
        return LeaseView(
            self.name, holder, holds, proposer.fencing_token, remaining_ms, self.changed_at, self.reason
        )

    def _observed_number(self, now: float) -> int | None:
        """Returns the dispatcher number of the last observed holder, None if it may have changed.

        After the observed lease has expired, the number is still returned for the time that the next attempt
        takes to find out who holds the lease then.
        """
        observed = self.proposer.observed_holder
        if observed.node_id is None or now >= observed.expires_at + ATTEMPT_TIMEOUT_MS:
            return None
        return dispatcher_number_of(observed.node_id)
