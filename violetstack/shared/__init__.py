"""Rate limits, and the share of a tier-wide limit that one dispatcher enforces.

No module here does I/O; the clock is an argument.
"""
