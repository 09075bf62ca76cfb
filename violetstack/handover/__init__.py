"""Hot restart: the records and messages that two processes of one dispatcher exchange.

`record` is the file that a process writes for the others, `learned_state` the part of it that holds the
policy's estimates, `successor` derives from all records which process takes over, and `stream_migration`
holds the messages that move an open stream. Nothing here does I/O or reads a clock; the drivers are in
`violetstack.net`.
"""
