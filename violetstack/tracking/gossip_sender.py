"""Tells the other dispatchers of a tier what this one has in flight where, and which endpoints failed it."""

from __future__ import annotations

from math import inf

from violetstack.gossip import codec
from violetstack.policy_api import SendGossip, StartTimer
from violetstack.tracking import timer_tokens
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.state import PolicyState

GOSSIP_DELAY_MS = 20.0  # changes within this time share a datagram
LAZY_GOSSIP_DELAY_MS = 1_000.0  # for a stream's end: streams take seconds, and a datagram has its price
TIMER_SLACK_MS = 1.0  # a timer may fire that much early


class GossipSender:
    """Collects changes of load and failures, and sends them in datagrams of bounded size."""

    def __init__(self, state: PolicyState) -> None:
        """Nothing is to be sent."""
        self._state = state
        self._enabled = state.settings.gossip_allowed
        self._due_at = inf
        self._failed: dict[bytes, None] = {}  # tags of endpoints that failed, the oldest first

    def announce_start(self) -> None:
        """Say that nothing is known here of the others' load: all of them send theirs."""
        if self._enabled:
            self._state.act(SendGossip(codec.RESET_DATAGRAM))

    def restart(self) -> None:
        """After a pause of the process: ask for the others' load, and send all of ours."""
        if self._enabled:
            self.announce_start()
            self.resend_all(GOSSIP_DELAY_MS)

    def add_failure(self, endpoint: TrackedEndpoint) -> None:
        """The endpoint failed this dispatcher; goes with the next datagram."""
        self._failed[endpoint.gossip_tag] = None

    def schedule(self, delay_ms: float = GOSSIP_DELAY_MS) -> None:
        """Send what changed after this delay at the latest."""
        state = self._state
        if self._enabled and state.now + delay_ms < self._due_at:
            self._due_at = state.now + delay_ms
            state.act(StartTimer(delay_ms, timer_tokens.GOSSIP))

    def send_changes(self) -> None:
        """Send failures, and the load that changed since it was last sent, the longest unsent first."""
        state = self._state
        if state.now < self._due_at - TIMER_SLACK_MS:
            return  # an earlier timer of several; what it stood for has been sent
        self._due_at = inf
        failed = list(self._failed)
        entries = [codec.LoadEntry(tag, codec.FAILURE_CODE) for tag in failed[: codec.MAX_ENTRIES]]
        self._failed = dict.fromkeys(failed[codec.MAX_ENTRIES :])
        changed = [
            (endpoint, code)
            for endpoint in self._loaded_endpoints()
            if (code := state.load.gossip_code(endpoint)) != endpoint.gossiped_code
        ]
        changed.sort(key=lambda row: row[0].gossiped_at)
        for endpoint, code in changed[: codec.MAX_ENTRIES - len(entries)]:
            entries.append(codec.LoadEntry(endpoint.gossip_tag, code))
            endpoint.gossiped_code = code
            endpoint.gossiped_at = state.now
        if entries:
            state.act(SendGossip(codec.encode_datagram(entries)))
        if len(entries) == codec.MAX_ENTRIES:  # there may be more
            self.schedule()

    def resend_all(self, delay_ms: float) -> None:
        """Send the load at all endpoints, for dispatchers that may not know it."""
        loaded = self._loaded_endpoints()
        for endpoint in loaded:
            endpoint.gossiped_code = codec.NOT_ANNOUNCED
        if loaded:
            self.schedule(delay_ms)

    def _loaded_endpoints(self) -> list[TrackedEndpoint]:
        """Endpoints with load now, or with load when they were last sent."""
        endpoints = self._state.endpoints.by_name.values()
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.in_flight or endpoint.reservations or endpoint.gossiped_code
        ]
