"""Owns what the operators' staff see and do: their calls, the figures, the hosts out by hand.

`door` reads a call and words its answer, `figures` says what the counts are called, `cordons` lays the hosts
that are out by hand over discovery's list. Nothing here does I/O or reads a clock; net/door.py carries the
calls. Model hosts are still chosen by the decision module alone: to it a host that is out is one that drains.
"""
