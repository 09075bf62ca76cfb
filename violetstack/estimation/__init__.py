"""Estimators: decaying sums and recent samples, statistics of endpoints, prefill cost and slow start.

No I/O, no decisions, and no clock: the caller passes the time.
"""
