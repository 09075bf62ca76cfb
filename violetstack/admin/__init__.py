"""The admin API: metrics, cordons and leases for operators.

`api` maps HTTP requests to operations, `responses` are the bodies, `metrics` and `cordons` are two of the
things operated on, `errors` are the refusals. Nothing here does I/O or reads a clock:
`violetstack.net.admin_server` carries the connections and `violetstack.net.admin_service` implements the
operations on a dispatcher.
"""
