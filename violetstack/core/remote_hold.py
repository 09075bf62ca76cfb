"""What model hosts may hold for one request: prefilled state, and reserved decode slots.

A hold is tracked separately from the attempts of its request. It begins when a host may hold something: when
a reservation is written, or when a prefill that has reached its host ends. From then on its clock measures
for how long the state has been unclaimed. The clock stops only if it is certain that a host has begun an
attempt that claims the state, that a stream has started, or that a host took a release. An attempt that was
written does not stop it, since its host may never begin the attempt.

The rule: while no attempt is in flight, held state is claimed or released within
`Settings.state_retention_ms` after the last outcome or reservation.

This module does no I/O and reads no clock. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec


class HoldState(StrEnum):
    """What hosts may hold; the values are those in the log and the admin API."""

    NOTHING = "nothing"
    RESERVATION_UNANSWERED = "asked"
    """A reservation was written and not answered yet; nothing else is held."""
    UNCLAIMED = "unclaimed"
    """Something may be held, and no host is known to have begun an attempt that claims it."""
    CLAIMED = "claimed"
    """What is held is used by an attempt that its host has begun."""
    SETTLING = "settling"
    """Released, but a host may notice the end of an attempt later, so another release follows."""


class HoldEvent(StrEnum):
    """An event that may change a hold; the values are those in the log."""

    RESERVATION_WRITTEN = "reservation written"
    """The last byte of a reservation was handed to the kernel."""
    SLOT_CONFIRMED = "slot confirmed"
    """The decode host has reserved a slot for the prefill that is in flight."""
    SLOT_UNCERTAIN = "slot uncertain"
    """A reservation ended, and a slot may be reserved that no attempt in flight is known to claim."""
    SLOT_REFUSED = "slot refused"
    """The decode host has certainly reserved nothing, and no other reservation is unanswered."""
    STATE_LEFT = "state left"
    """A host has finished a prefill that may have left state."""
    STATE_UNCERTAIN = "state uncertain"
    """A prefill ended without a response; its host may hold state, or may never have begun the prefill."""
    ATTEMPT_ENDED = "attempt ended"
    """A host has ended an attempt that left no state."""
    ATTEMPT_GIVEN_UP = "attempt given up"
    """An attempt that left no state ended without a response; its host may never have begun it."""
    STREAM_STARTED = "stream started"
    """The host that streams has claimed everything that was held."""
    STREAM_STARTED_EARLY = "stream started before a reservation was answered"
    RELEASED = "released"
    """A host took a release, and no attempt is in flight that could still use anything."""
    RELEASED_EARLY = "released right after an attempt was ended"
    """A host took a release that may have reached other hosts before the end of an attempt did."""
    RELEASED_BESIDE_ATTEMPT = "released beside an attempt"
    """A host took a release; only what an attempt in flight waits for is still held."""
    RELEASED_BEFORE_ANSWER = "released before a reservation was answered"
    """A host took a release, but an unanswered reservation may still reserve a slot afterwards."""
    ABANDONED = "abandoned"
    """No host took the release in time; hosts free what they hold after its retention time."""


class ClockEffect(StrEnum):
    """The effect of an event on the clock of a hold."""

    KEEPS = "keeps"
    STARTS = "starts"
    """Starts the clock unless it is running."""
    RESTARTS = "restarts"
    STOPS = "stops"


class Transition(msgspec.Struct, frozen=True):
    """The state of a hold after an event, and the effect of the event on the clock."""

    state: HoldState
    clock: ClockEffect


def _all_to(transition: Transition) -> dict[HoldState, Transition]:
    return dict.fromkeys(HoldState, transition)


_NOTHING_HELD = Transition(HoldState.NOTHING, ClockEffect.STOPS)
_CLAIMED = Transition(HoldState.CLAIMED, ClockEffect.STOPS)
_RESERVATION_UNANSWERED = Transition(HoldState.RESERVATION_UNANSWERED, ClockEffect.STARTS)
_UNCLAIMED = Transition(HoldState.UNCLAIMED, ClockEffect.STARTS)
_UNCLAIMED_FROM_NOW = Transition(HoldState.UNCLAIMED, ClockEffect.RESTARTS)
_SETTLING = Transition(HoldState.SETTLING, ClockEffect.KEEPS)

TRANSITIONS: dict[HoldEvent, dict[HoldState, Transition]] = {
    HoldEvent.RESERVATION_WRITTEN: {
        HoldState.NOTHING: _RESERVATION_UNANSWERED,
        HoldState.RESERVATION_UNANSWERED: _RESERVATION_UNANSWERED,
        HoldState.UNCLAIMED: _UNCLAIMED,
        HoldState.CLAIMED: _UNCLAIMED,
        HoldState.SETTLING: _RESERVATION_UNANSWERED,  # a second reservation replaces the first one
    },
    HoldEvent.SLOT_CONFIRMED: {
        HoldState.NOTHING: _UNCLAIMED,  # a release was sent before it
        HoldState.RESERVATION_UNANSWERED: _CLAIMED,
        HoldState.UNCLAIMED: _UNCLAIMED,  # more than the slot may be held
        HoldState.CLAIMED: _CLAIMED,
        HoldState.SETTLING: _UNCLAIMED,
    },
    HoldEvent.SLOT_UNCERTAIN: _all_to(_UNCLAIMED),
    HoldEvent.SLOT_REFUSED: {
        HoldState.NOTHING: _NOTHING_HELD,
        HoldState.RESERVATION_UNANSWERED: _NOTHING_HELD,
        HoldState.UNCLAIMED: _UNCLAIMED,
        HoldState.CLAIMED: _CLAIMED,
        HoldState.SETTLING: _SETTLING,
    },
    HoldEvent.STATE_LEFT: _all_to(_UNCLAIMED_FROM_NOW),
    HoldEvent.STATE_UNCERTAIN: _all_to(_UNCLAIMED),
    HoldEvent.ATTEMPT_ENDED: {
        HoldState.NOTHING: _NOTHING_HELD,
        HoldState.RESERVATION_UNANSWERED: Transition(HoldState.RESERVATION_UNANSWERED, ClockEffect.RESTARTS),
        HoldState.UNCLAIMED: _UNCLAIMED_FROM_NOW,
        HoldState.CLAIMED: _UNCLAIMED_FROM_NOW,
        HoldState.SETTLING: _SETTLING,
    },
    HoldEvent.ATTEMPT_GIVEN_UP: {
        HoldState.NOTHING: _NOTHING_HELD,
        HoldState.RESERVATION_UNANSWERED: _RESERVATION_UNANSWERED,
        HoldState.UNCLAIMED: _UNCLAIMED,
        HoldState.CLAIMED: _UNCLAIMED,
        HoldState.SETTLING: _SETTLING,
    },
    HoldEvent.STREAM_STARTED: _all_to(_NOTHING_HELD),
    HoldEvent.STREAM_STARTED_EARLY: _all_to(_CLAIMED),
    HoldEvent.RELEASED: _all_to(_NOTHING_HELD),
    HoldEvent.RELEASED_EARLY: _all_to(Transition(HoldState.SETTLING, ClockEffect.RESTARTS)),
    HoldEvent.RELEASED_BESIDE_ATTEMPT: _all_to(_CLAIMED),
    HoldEvent.RELEASED_BEFORE_ANSWER: _all_to(
        Transition(HoldState.RESERVATION_UNANSWERED, ClockEffect.RESTARTS)
    ),
    HoldEvent.ABANDONED: _all_to(_NOTHING_HELD),
}
"""Transitions by event and by the state before the event."""


class RemoteHold(msgspec.Struct):
    """What hosts may hold for one request, and since when no attempt is known to have claimed it.

    Attributes:
        state: What hosts may hold.
        unclaimed_since: When the clock was started; None while it is stopped.
        cause: The event that started the clock.
    """

    state: HoldState = HoldState.NOTHING
    unclaimed_since: float | None = None
    cause: HoldEvent | None = None

    def apply(self, now: float, event: HoldEvent) -> None:
        """Changes the state and the clock according to the event."""
        transition = TRANSITIONS[event][self.state]
        self.state = transition.state
        match transition.clock:
            case ClockEffect.STOPS:
                self.unclaimed_since = None
                self.cause = None
            case ClockEffect.RESTARTS:
                self._start(now, event)
            case ClockEffect.STARTS if self.unclaimed_since is None:
                self._start(now, event)

    def _start(self, now: float, event: HoldEvent) -> None:
        self.unclaimed_since = now
        self.cause = event

    @property
    def may_be_held(self) -> bool:
        """Whether a host may hold anything."""
        return self.state is not HoldState.NOTHING

    @property
    def needs_release(self) -> bool:
        """Whether a release is required before the request's record may be closed."""
        return self.state in (HoldState.UNCLAIMED, HoldState.CLAIMED)

    def unclaimed_ms(self, now: float) -> float:
        """Returns how long the clock has run; 0 while it is stopped."""
        return 0.0 if self.unclaimed_since is None else now - self.unclaimed_since


class HoldSummary(msgspec.Struct, frozen=True):
    """What hosts may hold for all open requests.

    Attributes:
        requests: Number of requests for which something may be held.
        unclaimed: Number of these requests whose clock runs.
        oldest_unclaimed_ms: How long the oldest running clock has run; 0 if no clock runs.
    """

    requests: int
    unclaimed: int
    oldest_unclaimed_ms: int


def summarize(holds: Iterable[RemoteHold], now: float) -> HoldSummary:
    """Counts the holds that may hold something."""
    some = [hold for hold in holds if hold.may_be_held]
    ages_ms = [hold.unclaimed_ms(now) for hold in some if hold.unclaimed_since is not None]
    return HoldSummary(len(some), len(ages_ms), round(max(ages_ms, default=0.0)))
