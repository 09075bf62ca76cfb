"""The admin API: metrics, cordons and leases for operators.

`api` maps HTTP requests to operations, `responses` defines the response bodies, `metrics` composes the
metrics, `cordons` implements cordons, and `errors` defines the errors. Nothing here does I/O or reads a
clock: `violetstack.net.admin_server` handles the connections and `violetstack.net.admin_service` implements
the operations on a running dispatcher.
"""
