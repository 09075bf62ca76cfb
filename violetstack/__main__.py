"""`python -m violetstack`: one real dispatcher, told by NODE_CONFIG; with arguments, the command line."""

from __future__ import annotations

import gc
import os
import sys

gc.disable()  # until ready: what a start makes is no garbage, and looking for some is a tenth of its time

from violetstack.daemon.process import serve  # noqa: E402


def main() -> int:
    if len(sys.argv) > 1:
        from violetstack.commands.main import main as command

        command(prog_name="violetstack")
    return serve(os.environ.get("NODE_CONFIG", ""))


if __name__ == "__main__":
    sys.exit(main())
