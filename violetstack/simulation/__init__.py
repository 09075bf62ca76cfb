"""Owns worlds in virtual time: the program's real parts under every kind of fault, the same by seed.

No sockets and no clock but the world's. Tests and benchmarks play them; nothing in `run` loads them.
"""
