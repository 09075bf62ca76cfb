"""Sends the load of this dispatcher at each endpoint, and failures, to the other dispatchers."""

from __future__ import annotations

from math import inf

from violetstack.gossip import codec
from violetstack.policy_api import SendGossip, StartTimer
from violetstack.tracking import timer_tokens
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.state import PolicyState

GOSSIP_DELAY_MS = 20.0  # changes within this time are sent in one datagram
LAZY_GOSSIP_DELAY_MS = 1_000.0  # for the end of a stream: streams take seconds, so fewer datagrams suffice
TIMER_SLACK_MS = 1.0  # a timer may fire this much early


class GossipSender:
    """Collects changes of load and failures, and sends them in datagrams of bounded size."""

    def __init__(self, state: PolicyState) -> None:
        """Starts with nothing to send."""
        self._state = state
        self._enabled = state.settings.gossip_allowed
        self._due_at = inf
        self._failed: dict[bytes, None] = {}  # tags of endpoints that failed, the oldest first

    def announce_start(self) -> None:
        """Announces that this dispatcher started, so that the others send their load."""
        if self._enabled:
            self._state.act(SendGossip(codec.RESET_DATAGRAM))

    def restart(self) -> None:
        """Requests the others' load and sends all of ours, after a pause of the process."""
        if self._enabled:
            self.announce_start()
            self.resend_all(GOSSIP_DELAY_MS)

    def add_failure(self, endpoint: TrackedEndpoint) -> None:
        """Adds a failure of the endpoint to the next datagram."""
        self._failed[endpoint.gossip_tag] = None

    def schedule(self, delay_ms: float = GOSSIP_DELAY_MS) -> None:
        """Sends changes after this delay at the latest."""
        state = self._state
        if self._enabled and state.now + delay_ms < self._due_at:
            self._due_at = state.now + delay_ms
            state.act(StartTimer(delay_ms, timer_tokens.GOSSIP))

    def send_changes(self) -> None:
        """Sends failures, and loads that changed since they were last sent, the oldest first."""
        state = self._state
        if state.now < self._due_at - TIMER_SLACK_MS:
            return  # an outdated timer: its changes have been sent
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
        """Sends the load at all endpoints, for dispatchers that may not know it."""
        loaded = self._loaded_endpoints()
        for endpoint in loaded:
            endpoint.gossiped_code = codec.NOT_ANNOUNCED
        if loaded:
            self.schedule(delay_ms)

    def _loaded_endpoints(self) -> list[TrackedEndpoint]:
        """Returns endpoints that have load now, or had load when it was last sent."""
        endpoints = self._state.endpoints.by_name.values()
        return [
            endpoint
            for endpoint in endpoints
            if endpoint.in_flight or endpoint.reservations or endpoint.gossiped_code
        ]
