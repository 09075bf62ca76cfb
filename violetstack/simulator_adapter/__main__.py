"""Runs the simulator adapter on standard input and output."""

from __future__ import annotations

import sys

from violetstack.simulator_adapter.adapter import main

if __name__ == "__main__":
    sys.exit(main())
