"""A lease that a node wants, and how operators see it."""

from __future__ import annotations

from typing import NamedTuple

from violetstack.lease.messages import dispatcher_number_of
from violetstack.lease.proposer import HolderChange, Proposer
from violetstack.lease.retry_schedule import ATTEMPT_TIMEOUT_MS


class LeaseView(NamedTuple):
    """One lease as this dispatcher sees it.

    Attributes:
        name: The lease's name.
        holder: The holder's dispatcher number; None if there is none, or it is not known.
        held_here: Whether this dispatcher holds it.
        fencing_token: The token by which this dispatcher holds it, or held it last.
        remaining_ms: How much of the lease is left.
        changed_at: When this dispatcher last acquired or lost it; None if it never did.
        reason: Why it did.
    """

    name: str
    holder: int | None
    held_here: bool
    fencing_token: int
    remaining_ms: float
    changed_at: float | None
    reason: str


class Candidacy:
    """A lease that this node wants.

    Attributes:
        name: The lease's name.
        proposer: Acquires it.
        unconditional: Whether the node asks for it also while it is not eligible.
        cooldown_until: Until when the node leaves it to others, having resigned it; None if it does not.
        changed_at: When this node last acquired or lost it; None if it never did.
        reason: Why it did.
    """

    def __init__(self, name: str, proposer: Proposer, *, unconditional: bool) -> None:
        """Start without the lease."""
        self.name = name
        self.proposer = proposer
        self.unconditional = unconditional
        self.cooldown_until: float | None = None
        self.changed_at: float | None = None
        self.reason = ""

    def next_tick_at(self) -> float:
        """Return when the proposer has something to do, or the cooldown ends."""
        at = self.proposer.next_tick_at()
        return at if self.cooldown_until is None else min(at, self.cooldown_until)

    def record_change(self, now: float, change: HolderChange) -> None:
        """Remember for `view` that this node acquired or lost the lease."""
        self.changed_at = now
        self.reason = change.reason

    def view(self, now: float, number: int) -> LeaseView:
        """Describe the lease as dispatcher `number`, which this node is, sees it."""
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
        """Return the holder's number until the next attempt, after its lease, finds out who holds it then."""
        observed = self.proposer.observed_holder
        if observed.node_id is None or now >= observed.expires_at + ATTEMPT_TIMEOUT_MS:
            return None
        return dispatcher_number_of(observed.node_id)
