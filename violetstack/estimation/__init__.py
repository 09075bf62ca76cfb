"""Estimators: `decay` has sums and samples that lose weight with age, `prefill_cost` the cost of a prompt.

No I/O, no decisions, and no clock: the caller passes the time.
"""
