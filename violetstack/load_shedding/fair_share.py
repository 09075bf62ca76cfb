"""Max-min fair shares, and the hash that selects the sessions within a share."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import blake2b

HASH_BYTES = 7  # the largest number of bytes whose values a float represents exactly
HASH_RANGE = 1 << (8 * HASH_BYTES)
MIN_WEIGHT = 1e-9


def hash_fraction(name: str) -> float:
    """Returns a number in [0, 1) that every dispatcher computes alike for a name."""
    digest = blake2b(name.encode("utf-8", "replace"), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest) / HASH_RANGE


def weighted_fair_shares(
    budget: float, demand: Mapping[int, float], weights: Mapping[int, float]
) -> dict[int, float]:
    """Divides a budget by water-filling, the fluid model of weighted fair queueing.

    No key gets more than its demand; the keys that get less all get the same amount per weight.
    """
    shares: dict[int, float] = {}
    budget_left = budget
    weight_left = sum(weights.get(key, 0.0) for key in demand)
    by_saturation = sorted(demand, key=lambda key: demand[key] / max(weights.get(key, 0.0), MIN_WEIGHT))
    for key in by_saturation:
        weight = weights.get(key, 0.0)
        share = budget_left * weight / weight_left if weight_left > 0 else 0.0
        shares[key] = min(demand[key], max(0.0, share))
        budget_left -= shares[key]
        weight_left -= weight
    return shares
