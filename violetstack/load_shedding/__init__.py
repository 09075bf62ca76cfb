"""Load shedding: levels of reduced service that the operator's file defines.

`signals` turns events and gauges into readings, `signal_conditions` are the rules over them,
`state_machine` moves between the levels, `admission` admits or sheds requests under one, `journal` is what a
restart reads, and `load_shedder` puts them together behind the core's port. Nothing here does I/O or reads a
clock.

A level bounds what the policy works under. The policy itself still rejects, retries and chooses endpoints.
"""
