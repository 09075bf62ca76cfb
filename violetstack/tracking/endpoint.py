"""The record of one endpoint: its list entry, its load from this dispatcher, and its statistics."""

from __future__ import annotations

from typing import NamedTuple

from violetstack.estimation.statistics import SPEED_PRIOR_MS, EndpointStatistics
from violetstack.gossip.codec import endpoint_tag
from violetstack.policy_api import Endpoint, EndpointState, Role
from violetstack.tracking.request import Attempt


class EndpointKind(NamedTuple):
    """The settings for endpoints of one kind."""

    role: Role
    memory_tokens: float


class TrackedEndpoint:
    """One endpoint from the view of this dispatcher."""

    __slots__ = (
        "_jitter",
        "_nominal_memory_tokens",
        "entry",
        "gossip_tag",
        "gossiped_at",
        "gossiped_code",
        "in_flight",
        "name",
        "reservations",
        "role",
        "statistics",
        "usable",
    )

    def __init__(self, entry: Endpoint, kind: EndpointKind, jitter: float, now: float) -> None:
        """Starts without load and statistics.

        Args:
            entry: its entry in the endpoint list.
            kind: the settings of its kind.
            jitter: random, 0 to 1; staggers the slow start between dispatchers.
            now: milliseconds.
        """
        self.name = entry.server
        self.set_entry(entry, kind)
        self.gossip_tag = endpoint_tag(entry.server)
        self.gossiped_code = 0  # load code that was last sent to the other dispatchers
        self.gossiped_at = now
        self.in_flight: dict[tuple[str, int], Attempt] = {}  # by request id and attempt number
        self.reservations: dict[str, float] = {}  # tokens of reserved decode slots, by request id
        self._jitter = jitter
        self.statistics = EndpointStatistics(jitter, now)

    @property
    def removed(self) -> bool:
        """Returns whether it is no longer listed."""
        return self.entry.state is EndpointState.REMOVED

    @property
    def has_load(self) -> bool:
        """Returns whether this dispatcher has an attempt or a reservation there."""
        return bool(self.in_flight or self.reservations)

    def set_entry(self, entry: Endpoint, kind: EndpointKind) -> None:
        """Replaces its entry in the endpoint list."""
        self.entry = entry
        self.usable = entry.state is EndpointState.HEALTHY
        self.role = kind.role
        self._nominal_memory_tokens = kind.memory_tokens

    def forget_learned(self, now: float) -> None:
        """Discards the statistics, since the endpoint restarted."""
        self.statistics = EndpointStatistics(self._jitter, now)

    def prefill_cost_in_flight(self) -> float:
        """Returns the cost of this dispatcher's prefills there."""
        return sum(attempt.prefill_cost for attempt in self.in_flight.values() if attempt.is_prefill)

    def tokens_in_flight(self) -> float:
        """Returns the tokens of this dispatcher's decodes and reservations there."""
        decoding = sum(
            attempt.request.tokens for attempt in self.in_flight.values() if not attempt.is_prefill
        )
        return decoding + sum(self.reservations.values())

    def unstarted_decode_cost(self) -> float:
        """Returns the prefill cost of decodes without a first token; a mixed host prefills them, too."""
        return sum(
            attempt.prefill_cost
            for attempt in self.in_flight.values()
            if not attempt.is_prefill and not attempt.started
        )

    def proximity(self, other: TrackedEndpoint) -> int:
        """Returns 2 for the same cell, 1 for the same zone, else 0."""
        if self.entry.cell == other.entry.cell:
            return 2
        return int(self.entry.zone == other.entry.zone)

    def memory_tokens(self, now: float) -> float:
        """Returns the memory size in tokens: the settings' value, corrected by the endpoint's reports."""
        return self.statistics.memory.capacity(self._nominal_memory_tokens, now)

    def prefill_speed(self, average: float, now: float) -> float:
        """Returns the prefill cost that it completes per millisecond: cost at sending over duration.

        A prefill that has been in flight for longer than expected at `average` speed already counts, so that
        an endpoint that hangs, is slow or loses requests gets a lower speed at once. Without samples, the
        result is `average`.
        """
        statistics = self.statistics
        if not (self.in_flight or statistics.busy_ms.total or statistics.completed_cost.total):
            return average
        completed = statistics.completed_cost.value_at(now)
        busy = statistics.busy_ms.value_at(now)
        for attempt in self.in_flight.values():
            if attempt.is_prefill and (now - attempt.sent_at) * average > attempt.cost_at_send:
                completed += attempt.cost_at_send
                busy = busy + now - attempt.sent_at
        return (completed + average * SPEED_PRIOR_MS) / (busy + SPEED_PRIOR_MS)
