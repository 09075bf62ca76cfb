"""Owns how a dispatcher comes back: what of a remembered list counts, and the phases of a start.

`sources` merges what is remembered, entry by entry; `phases` is the table of a start; `doubt` judges a list
that lost most of its hosts. No I/O; the clock is an argument, times are Unix milliseconds.
"""
