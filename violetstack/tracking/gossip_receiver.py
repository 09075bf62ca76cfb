"""Receives the gossip of the other dispatchers."""

from __future__ import annotations

from violetstack.gossip.codec import RESET_DATAGRAM, GossipDecodeError
from violetstack.policy_api import GossipReceived, WriteLog
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.gossip_sender import GOSSIP_DELAY_MS, GossipSender
from violetstack.tracking.state import PolicyState

RESEND_SPREAD = 9.0  # the reply to a new dispatcher is sent after one to ten gossip delays


class GossipReceiver:
    """Records the load of the other dispatchers, and replies to dispatchers that started."""

    def __init__(self, state: PolicyState, sender: GossipSender) -> None:
        """Records the load in `state`; replies are sent by `sender`."""
        self._state = state
        self._sender = sender

    def receive(self, event: GossipReceived) -> list[TrackedEndpoint]:
        """Processes a datagram, and returns the endpoints for which its failure reports are accepted."""
        state = self._state
        if event.peer == state.settings.dispatcher_index:
            return []
        if event.payload == RESET_DATAGRAM:
            # The sender does not know our load; other dispatchers may have started at the same time.
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
