"""The durable state of a dispatcher: snapshots and a write-ahead log in a directory of its own.

`records` encodes checksummed records, `snapshot` is the state and how the log's records change it, and
`store` handles generations of files and recovers from them. The directory is an interface here;
`net/state_directory.py` implements it and `net/state_writer.py` writes in the background. Keys, prompts and
texts of clients are never stored.
"""
