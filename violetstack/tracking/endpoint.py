"""The record of one endpoint: its entry in the list, the load it has from here and what was learned of it."""

from __future__ import annotations

from typing import NamedTuple

from violetstack.estimation.statistics import PRIOR_MS, EndpointStatistics
from violetstack.gossip.codec import endpoint_tag
from violetstack.policy_api import Endpoint, EndpointState, Role
from violetstack.tracking.request import Attempt


class EndpointKind(NamedTuple):
    """What the settings say of endpoints of one kind."""

    role: Role
    memory_tokens: float


class TrackedEndpoint:
    """One endpoint as this dispatcher knows it."""

    def __init__(self, entry: Endpoint, kind: EndpointKind, jitter: float, now: float) -> None:
        """Start with nothing in flight and nothing learned.

        Args:
            entry: as the endpoint list has it.
            kind: what the settings say of it.
            jitter: random, 0 to 1; staggers the dispatchers' slow start.
            now: milliseconds.
        """
        self.name = entry.server
        self.set_entry(entry, kind)
        self.usable = True
        self.gossip_tag = endpoint_tag(entry.server)
        self.gossiped_code = 0  # the load that the other dispatchers were last notified of
        self.gossiped_at = now
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request id and attempt number
        self.reservations: dict[str, float] = {}  # tokens of the decode slots asked for, by request id
        self._jitter = jitter
        self.statistics = EndpointStatistics(jitter, now)

    @property
    def removed(self) -> bool:
        """Is it off the list?"""
        return self.entry.state is EndpointState.REMOVED

    @property
    def has_load(self) -> bool:
        """Is any attempt or reservation of this dispatcher there?"""
        return bool(self.in_flight or self.reservations)

    def set_entry(self, entry: Endpoint, kind: EndpointKind) -> None:
        """The list has this entry from now on."""
        self.entry = entry
        self.role = kind.role
        self._nominal_memory_tokens = kind.memory_tokens

    def forget_learned(self, now: float) -> None:
        """The endpoint restarted: nothing learned before holds any more."""
        self.statistics = EndpointStatistics(self._jitter, now)

    def prefill_cost_in_flight(self) -> float:
        """Prefill cost of this dispatcher's prefills there."""
        if not self.in_flight:  # most endpoints, most of the time
            return 0.0
        return sum(attempt.prefill_cost for attempt in self.in_flight.values() if attempt.is_prefill)

    def tokens_in_flight(self) -> float:
        """Tokens of this dispatcher's decodes and reservations there."""
        if not self.in_flight and not self.reservations:
            return 0.0
        decoding = sum(
            attempt.request.tokens for attempt in self.in_flight.values() if not attempt.is_prefill
        )
        return decoding + sum(self.reservations.values())

    def unstarted_decode_cost(self) -> float:
        """Prefill cost of decodes without a first token: a mixed host computes the prompt as well."""
        return sum(
            attempt.prefill_cost
            for attempt in self.in_flight.values()
            if not attempt.is_prefill and not attempt.started
        )

    def closeness(self, other: TrackedEndpoint) -> int:
        """2 in the same cell, 1 in the same zone, else 0."""
        if self.entry.cell == other.entry.cell:
            return 2
        return int(self.entry.zone == other.entry.zone)

    def memory_tokens(self, now: float) -> float:
        """Memory size in tokens as counted here: the settings', corrected by the endpoint's reports."""
        return self.statistics.memory.capacity(self._nominal_memory_tokens, now)

    def prefill_speed(self, average: float, now: float) -> float:
        """Prefill cost that it completes in a millisecond: cost in flight at sending over time taken.

        A prefill that is in flight for longer than `average` allows counts though no outcome came: an
        endpoint that hangs, crawls or loses requests slows down at once. One without samples has the average.
        """
        learned = self.statistics
        done = learned.cost_done.value_at(now)
        busy = learned.busy_ms.value_at(now)
        for attempt in self.in_flight.values():
            if attempt.is_prefill and (now - attempt.sent_at) * average > attempt.cost_ahead:
                done += attempt.cost_ahead
                busy = busy + now - attempt.sent_at
        return (done + average * PRIOR_MS) / (busy + PRIOR_MS)
