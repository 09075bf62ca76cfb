"""Rate limits, and the part of a tier-wide limit that one dispatcher enforces.

No module here does I/O; the clock is an argument.
"""
