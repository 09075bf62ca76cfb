"""Assigns each request a route, and with it a pool of hosts and a policy, before a host is chosen.

A checked operator's file is compiled to a `Table` of routes (the first match wins, found through an index), a
`PoolTracker` that selects a pool or one of its fallbacks, and a `Policy` for each route. A `Generation` holds
all three for the requests that were accepted under it; `Routing` replaces whole generations. Nothing in this
package does I/O or reads a clock: calls that need the time take it as a parameter, in milliseconds.
"""
