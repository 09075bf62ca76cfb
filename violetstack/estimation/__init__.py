"""Owns how old what is known may be: when the sockets were last looked at, and what a gap does to it.

`turns` tells a turn that came late from one in time, and since when what is read now may have lain in its
socket; `ageing` are the sums and times that fade. No I/O, and no clock of its own.
"""
