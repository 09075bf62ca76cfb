"""Loopback addresses of rehearsals, so that several run beside each other."""

from __future__ import annotations

import os

from violetstack.config import Address

RUNS_APART = 4_099


def loopback_address(number: int, port: int, run: int = 0) -> Address:
    """A dispatcher's address, of one run alone among those of all processes here."""
    own = os.getpid() + RUNS_APART * run
    return f"127.{64 + (own >> 8) % 160}.{own % 256}.{1 + number}", port
