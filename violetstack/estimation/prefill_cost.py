"""The cost of prefilling a prompt, quadratic in its length.

The formula and its coefficients are from the Phasor paper (docs/design.md): the cost of attention grows with
the square of the length, the cost of the feed-forward layers linearly.
"""

from __future__ import annotations

ATTENTION_COST = 4.25e-5  # alpha: per token squared
LINEAR_COST = 6.80e-3  # beta: per token
MODEL_FACTOR = 1.0  # factor on the linear part; 1 for the paper's model


def prefill_cost(length: float) -> float:
    """Returns the cost of prefilling `length` prompt tokens, in the paper's units."""
    return ATTENTION_COST * length * length + LINEAR_COST * MODEL_FACTOR * length
