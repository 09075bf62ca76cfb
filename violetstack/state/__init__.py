"""Owns what a dispatcher keeps over its end: the form on disk, and what of it is believed.

`frames` are checked records, `content` is what is kept and how a log changes it, `store` decides about files:
generations, snapshots, what is cut, what is removed. A port carries the files; net/keeping.py has the disk.
Never kept: keys, prompts, clients' text.
"""
