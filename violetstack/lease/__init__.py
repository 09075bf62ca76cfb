"""Leases that one dispatcher of a tier holds at a time, granted by a majority of acceptors without a disk.

The protocol is PaxosLease (Trencseni, Gazso and Reinhardt, 2012) with fencing tokens. `messages` is the wire
format, `acceptor` grants leases, `proposer` acquires and renews one lease, and `node` runs one dispatcher's
acceptor and proposers. No module here does I/O; the clock (monotonic milliseconds of this process) and the
random source are arguments. Clocks of different machines are never compared: messages carry durations only.
"""
