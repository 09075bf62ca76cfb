"""Loopback addresses of rehearsals, so that several can run at the same time."""

from __future__ import annotations

import os

from violetstack.config import Address

RUN_STRIDE = 4_099


def loopback_address(number: int, port: int, run: int = 0) -> Address:
    """Return a dispatcher's address, which differs from those of other runs and other processes."""
    run_id = os.getpid() + RUN_STRIDE * run
    return f"127.{64 + (run_id >> 8) % 160}.{run_id % 256}.{1 + number}", port
