"""What model hosts may hold for one request: prefilled state, and reserved decode slots.

A hold has a life of its own, beside the attempts of its request. It begins when a host may hold something: as
a reservation is written, or as a prefill that had reached its host ends. From then on a clock runs. Only what
is known stops it: a host that has begun an attempt, a stream that has started, a release that a host took.
That an attempt was written stops nothing, since a host that begins nothing takes nothing over.

The rule: while no attempt is in flight, what is held is taken over or released within
`Settings.state_retention_ms`, counted from the last outcome or reservation.

Nothing here does I/O or reads a clock. Times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

import msgspec


class HoldState(StrEnum):
    """What hosts may hold; the values are those of the log and of the admin API."""

    NOTHING = "nothing"
    RESERVATION_UNANSWERED = "asked"
    """A reservation was written and is not answered yet; apart from it nothing is held."""
    UNCLAIMED = "unclaimed"
    """Something may be held, and no attempt is known to have begun that takes it over."""
    CLAIMED = "claimed"
    """What is held belongs to an attempt that its host has begun."""
    SETTLING = "settling"
    """Released, but the end of an attempt may reach its host after the release: one more release follows."""


class HoldEvent(StrEnum):
    """What happens to a hold; the values are those of the log."""

    RESERVATION_WRITTEN = "reservation written"
    """The last byte of a reservation was handed to the kernel."""
    SLOT_CONFIRMED = "slot confirmed"
    """The decode host has reserved a slot and knows of the prefill that is in flight."""
    SLOT_UNCERTAIN = "slot uncertain"
    """A reservation ended, and a slot may be reserved that no attempt in flight is known to take over."""
    SLOT_REFUSED = "slot refused"
    """The decode host has certainly reserved nothing, and no other reservation is unanswered."""
    STATE_LEFT = "state left"
    """A host has ended a prefill that may have left state."""
    STATE_UNCERTAIN = "state uncertain"
    """A prefill ended without its host's word; the host may not have begun it, or have left state."""
    ATTEMPT_ENDED = "attempt ended"
    """A host has ended another attempt."""
    ATTEMPT_GIVEN_UP = "attempt given up"
    """Another attempt ended without its host's word: the host may never have begun it."""
    STREAM_STARTED = "stream started"
    """The host that streams has taken over all that was held."""
    STREAM_STARTED_EARLY = "stream started before a reservation was answered"
    RELEASED = "released"
    """A host took a release, and no attempt is in flight that could keep anything."""
    RELEASED_EARLY = "released right after an attempt was ended"
    """A host took a release that may have overtaken the end of an attempt on its way to another host."""
    RELEASED_BESIDE_ATTEMPT = "released beside an attempt"
    """A host took a release: what is held still is what an attempt waits for that its host has begun."""
    RELEASED_BEFORE_ANSWER = "released before a reservation was answered"
    """A host took a release, but an unanswered reservation may take a slot after it."""
    ABANDONED = "abandoned"
    """No host took the release in time; hosts let go of what they hold after a while."""


class ClockEffect(StrEnum):
    """What an event does to the clock of a hold."""

    KEEPS = "keeps"
    STARTS = "starts"
    """If it is not running."""
    RESTARTS = "restarts"
    STOPS = "stops"


class Transition(msgspec.Struct, frozen=True):
    """The state after an event, and what the event does to the clock."""

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
        HoldState.SETTLING: _RESERVATION_UNANSWERED,  # a second reservation gives the first one up
    },
    HoldEvent.SLOT_CONFIRMED: {
        HoldState.NOTHING: _UNCLAIMED,  # it overtook a release
        HoldState.RESERVATION_UNANSWERED: _CLAIMED,
        HoldState.UNCLAIMED: _UNCLAIMED,  # there is more than the slot
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
"""By event and the state before it."""


class RemoteHold(msgspec.Struct):
    """What hosts may hold for one request, and for how long nobody is known to have taken it over.

    Attributes:
        state: What hosts may hold.
        since: When the clock was started; None while it stands still.
        cause: The event that started the clock.
    """

    state: HoldState = HoldState.NOTHING
    unclaimed_since: float | None = None
    cause: HoldEvent | None = None

    def apply(self, now: float, event: HoldEvent) -> None:
        """Takes the event into account."""
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
        """Whether a release is owed before the request's record may be closed."""
        return self.state in (HoldState.UNCLAIMED, HoldState.CLAIMED)

    def unclaimed_ms(self, now: float) -> float:
        """Returns for how long the clock has run; 0 while it stands still."""
        return 0.0 if self.unclaimed_since is None else now - self.unclaimed_since


class HoldSummary(msgspec.Struct, frozen=True):
    """What hosts may hold for all open requests.

    Attributes:
        requests: Number of requests for which something may be held.
        unclaimed: Number of those whose clock runs.
        oldest_unclaimed_ms: For how long the clock has run that was started first; 0 if none runs.
    """

    requests: int
    unclaimed: int
    oldest_unclaimed_ms: int


def summarize(holds: Iterable[RemoteHold], now: float) -> HoldSummary:
    """Counts holds."""
    some = [hold for hold in holds if hold.may_be_held]
    ages_ms = [hold.unclaimed_ms(now) for hold in some if hold.unclaimed_since is not None]
    return HoldSummary(len(some), len(ages_ms), round(max(ages_ms, default=0.0)))
