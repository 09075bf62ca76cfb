"""The cost of reading a prompt, quadratic in its length; coefficients from the paper in docs/design.md."""

from __future__ import annotations

ALPHA = 4.25e-5
BETA = 6.80e-3
MODEL_FACTOR = 1.0


def price(length: float) -> float:
    """Cost of `length` prompt tokens, in the paper's units."""
    return ALPHA * length * length + BETA * MODEL_FACTOR * length
