"""Simulations in virtual time: the program's real components under faults, reproducible from a seed.

There are no sockets, and no clock but the simulation's. Tests and benchmarks use this package; the service
does not load it.
"""
