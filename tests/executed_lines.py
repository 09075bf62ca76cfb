"""Measures work by the number of executed lines of Python, which does not depend on the machine."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from types import FrameType
from typing import Any


def count_lines(call: Callable[[], object]) -> int:
    """Returns how many lines of Python are executed; each pass of a loop or a comprehension counts.

    Garbage is not collected meanwhile, since libraries have callbacks in Python that run at collections.
    """
    lines = 0

    def trace(_frame: FrameType, event: str, _argument: Any) -> Callable[..., Any]:
        nonlocal lines
        lines += event == "line"
        return trace

    previous = sys.gettrace()
    gc.disable()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous)
        gc.enable()
    return lines
