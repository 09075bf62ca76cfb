"""Hot restart: the records and messages that two processes of one dispatcher exchange.

`record` defines the file that a process writes for the other processes, `learned_state` the part of it that
holds the policy's estimates, and `stream_migration` the messages that move an open stream. `successor`
determines from all records which process takes over. The package does no I/O and reads no clock; the drivers
are in `violetstack.net`.
"""
