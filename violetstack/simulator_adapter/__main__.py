"""`python -m violetstack.simulator_adapter`."""

from __future__ import annotations

import sys

from violetstack.simulator_adapter.adapter import main

if __name__ == "__main__":
    sys.exit(main())
