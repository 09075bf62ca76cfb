"""Rendezvous hashing (Thaler and Ravishankar, 1998): all dispatchers rank the hosts for a key alike."""

from __future__ import annotations

from collections.abc import Callable
from hashlib import blake2b

SCORE_BYTES = 8


def host_scores(key: str) -> Callable[[str], bytes]:
    """Returns the function from a host's id to its score for `key`; cheaper than `host_score` for many."""
    key_hash = blake2b(f"{key}\n".encode(), digest_size=SCORE_BYTES)

    def score(host_id: str) -> bytes:
        host_hash = key_hash.copy()
        host_hash.update(host_id.encode())
        return host_hash.digest()

    return score


def host_score(key: str, host_id: str) -> bytes:
    """Returns the score of `host_id` for `key`, eight bytes; the lowest score ranks first."""
    return host_scores(key)(host_id)
