"""How a dispatcher recovers after a start, and from an endpoint list that lost most of its endpoints.

`cached_endpoints` merges endpoint lists of earlier runs, `startup_phases` is the state machine of a start,
and `panic_threshold` overrides a list that shrank too much at once. No I/O and no clock: the caller passes
the time, in Unix milliseconds.
"""
