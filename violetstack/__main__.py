"""`python -m violetstack`: serves with the file that NODE_CONFIG names; with arguments, the command line."""

from __future__ import annotations

import gc
import os
import signal
import sys

gc.disable()  # until the daemon has started: a start leaves no garbage, and collections take a tenth of it
# Until there is a handler, SIGHUP would end the process; the configuration is read after that in any case.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from violetstack.daemon.process import serve  # noqa: E402


def main() -> int:
    """Returns the exit status."""
    if len(sys.argv) > 1:
        from violetstack.commands.main import main as command

        command(prog_name="violetstack")
    return serve(os.environ.get("NODE_CONFIG", ""))


if __name__ == "__main__":
    sys.exit(main())
