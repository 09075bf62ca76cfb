"""Takes what the other dispatchers of a tier tell."""

from __future__ import annotations

from violetstack.gossip.codec import RESET_DATAGRAM, GossipDecodeError
from violetstack.policy_api import GossipReceived, WriteLog
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.gossip_sender import GOSSIP_DELAY_MS, GossipSender
from violetstack.tracking.state import PolicyState

RESEND_SPREAD = 9.0  # answers to a new dispatcher come after one to ten gossip delays


class GossipReceiver:
    """Keeps the others' load, and answers dispatchers that are new."""

    def __init__(self, state: PolicyState, sender: GossipSender) -> None:
        """Keep the load in `state`; answers go out by `sender`."""
        self._state = state
        self._sender = sender

    def receive(self, event: GossipReceived) -> list[TrackedEndpoint]:
        """Take a datagram; returns the endpoints that failed its sender, where its word counts."""
        state = self._state
        if event.peer == state.settings.dispatcher_index:
            return []
        if event.payload == RESET_DATAGRAM:  # it knows nothing of our load, as may others that start with it
            self._sender.resend_all(GOSSIP_DELAY_MS * (1.0 + RESEND_SPREAD * state.rng.random()))
        endpoints = state.endpoints.by_name
        try:
            failed_tags = state.remote_load.receive(state.now, event.peer, event.payload, len(endpoints))
        except GossipDecodeError as error:
            state.act(WriteLog(f"peer {event.peer}: {error}"))
            return []
        if not failed_tags:
            return []
        return [endpoint for endpoint in endpoints.values() if endpoint.gossip_tag in failed_tags]
