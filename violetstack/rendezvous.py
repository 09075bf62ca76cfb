"""Rendezvous hashing (Thaler and Ravishankar, 1998): every dispatcher ranks the hosts of a key alike."""

from __future__ import annotations

from hashlib import blake2b


def host_score(key: str, host_id: str) -> bytes:
    """Eight bytes by which `host_id` ranks for `key`; the lowest score ranks first."""
    return blake2b(f"{key}\n{host_id}".encode(), digest_size=8).digest()
