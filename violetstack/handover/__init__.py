"""Owns what one process owes its successor, and what two processes of one dispatcher owe each other.

`record` is the form of what a process leaves, `succession` reads what others have left: what a new process
begins with, whose hosts out by hand bind, and whether somebody else takes the clients. Nothing here does I/O
or reads a clock; net/records.py keeps the files.
"""
