"""Tokens of the policy's timers. A timer of a request has the form `KIND:REQUEST_ID`."""

from __future__ import annotations

from typing import NamedTuple

WATCH_RETRY = "watch"
HEALTH_CHECK = "poll"
GOSSIP = "tell"
PREFILL_CUTOFF = "g"  # shortly before the deadline: cancel what can no longer be followed by a decode
FINAL_ANSWER = "d"  # just before the deadline: answer whatever is in flight


class TimerToken(NamedTuple):
    """A decoded token; `request_id` is empty for a timer that belongs to no request."""

    kind: str
    request_id: str


def encode(kind: str, request_id: str) -> str:
    """The token of a request's timer."""
    return f"{kind}:{request_id}"


def decode(token: str) -> TimerToken:
    """The kind of a timer, and the request it belongs to."""
    kind, _, request_id = token.partition(":")
    return TimerToken(kind, request_id)
