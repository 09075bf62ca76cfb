"""Leases that at most one dispatcher of a tier holds at a time, granted by a majority of diskless acceptors.

The protocol is PaxosLease (Trencseni, Gazso and Reinhardt, 2012) with fencing tokens. `messages` defines the
wire format, `acceptor` grants leases, `proposer` acquires and renews one lease, and `node` runs the acceptor
and the proposers of one dispatcher. No module here does I/O; the clock (monotonic milliseconds of this
process) and the random source are arguments. Clocks of different machines are never compared: messages carry
durations only.
"""
