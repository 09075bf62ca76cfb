"""Load shedding: levels of reduced service that the operator's file defines.

`signals` computes readings from events and gauges, `signal_conditions` evaluates conditions on them,
`state_machine` enters and leaves levels, and `admission` admits or sheds requests under the current level.
`journal` encodes the records that a restart restores the level from. `load_shedder` combines them and
implements the core's port. Nothing here does I/O or reads a clock.

A level only limits the requests and retries that reach the policy. The policy still rejects, retries and
chooses endpoints itself.
"""
