"""The cost of prefilling a prompt, quadratic in its length.

Form and coefficients are those of the Phasor paper (docs/design.md): attention grows with the square of the
length, the feed-forward layers grow linearly.
"""

from __future__ import annotations

ATTENTION_COST = 4.25e-5  # alpha: per token squared
LINEAR_COST = 6.80e-3  # beta: per token
MODEL_FACTOR = 1.0  # scales the linear part; 1 for the paper's model


def prefill_cost(length: float) -> float:
    """Returns the cost of prefilling `length` prompt tokens, in the paper's units."""
    return ATTENTION_COST * length * length + LINEAR_COST * MODEL_FACTOR * length
