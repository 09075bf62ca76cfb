"""Measures the memory that an object keeps, by Python's allocations, which do not depend on the machine."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable
from typing import TypeVar

T = TypeVar("T")


def measure_kept(build: Callable[[], T]) -> tuple[T, int]:
    """Builds an object and returns it with the bytes that were allocated for it and are not free again."""
    build()  # so that caches are filled
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        value = build()
        gc.collect()
        return value, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()
