"""Recovery of a dispatcher after a start, and from an endpoint list that has lost most of its endpoints.

`cached_endpoints` merges endpoint lists of earlier runs, `startup_phases` is the state machine of a start,
`start_times` translates the start times of hosts to this process's clock, and `panic_threshold` overrides a
list from which too many endpoints disappeared at once. The package does no I/O and reads no clock: the caller
passes the time, in Unix milliseconds.
"""
