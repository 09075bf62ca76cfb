"""The durable state of a dispatcher: snapshots and a write-ahead log in a directory of its own.

`records` encodes checksummed records, `snapshot` defines the state and applies log records to it, and `store`
manages generations of files and recovers the state from them. The directory is an interface here;
`net/state_directory.py` implements it, and `net/state_writer.py` writes in the background. Clients' keys,
prompts and texts are never stored.
"""
