"""Owns duties that only one dispatcher holds at a time: leases by a majority of electors, without a disk.

`messages` are what goes between dispatchers, `elector` grants, `candidate` asks for, holds, renews and hands
on. No I/O; the clock (milliseconds, monotonic, this process's own) and the random source are arguments. No
time is ever compared between machines: only lengths are told.
"""
