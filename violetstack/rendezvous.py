"""Rendezvous hashing (Thaler and Ravishankar, 1998): all dispatchers rank the hosts for a key alike."""

from __future__ import annotations

from hashlib import blake2b


def host_score(key: str, host_id: str) -> bytes:
    """Returns the score of `host_id` for `key`, eight bytes; the lowest score ranks first."""
    return blake2b(f"{key}\n{host_id}".encode(), digest_size=8).digest()
