"""Tokens of the policy's timers; that of a request's timer has the form `KIND:REQUEST_ID`."""

from __future__ import annotations

from typing import NamedTuple

WATCH_RETRY = "watch"
HEALTH_CHECK = "poll"
GOSSIP = "tell"
PREFILL_CUTOFF = "g"  # shortly before the deadline: cancels prefills that no decode can follow
FINAL_ANSWER = "d"  # just before the deadline: sends the final answer


class TimerToken(NamedTuple):
    """A decoded token; `request_id` is empty for a timer that belongs to no request."""

    kind: str
    request_id: str


def encode(kind: str, request_id: str) -> str:
    """Returns the token of a request's timer."""
    return f"{kind}:{request_id}"


def decode(token: str) -> TimerToken:
    """Returns the kind of a timer and the id of its request."""
    kind, _, request_id = token.partition(":")
    return TimerToken(kind, request_id)
