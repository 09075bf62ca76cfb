"""Owns which pool of hosts and which policy a request comes under, before the decision module picks a host.

A checked operator's file becomes a `Table` of routes (first match wins, found through an index), a
`PoolBook` that knows which pool stands in for which, and a `Policy` for each route. One `Generation`
holds all three for the requests that were taken under it; `Routing` swaps whole generations. Nothing
here does I/O or reads a clock: every call that needs the time takes it, in milliseconds.
"""
