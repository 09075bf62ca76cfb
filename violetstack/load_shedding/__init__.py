"""Owns the levels of reduced service: which one is in force, why, and what traffic it drops.

`signals` turns what crosses the sockets into readings with age and confidence, `machine` moves between the
levels of the operator's file, `admission` says who is served under one, `history` is the journal that a
restart reads, `control` puts them together behind the core's port. Nothing here does I/O or reads a clock.
The decision module still refuses, retries and picks hosts; the level sets the bounds that it works under.
"""
