"""`python -m violetstack`: runs the dispatcher with NODE_CONFIG, or with arguments the command line."""

from __future__ import annotations

import gc
import os
import signal
import sys

# The daemon enables garbage collection once it has started: a start leaves no garbage, and collections would
# take a tenth of its time.
gc.disable()
# Until the daemon has a handler, SIGHUP would end the process. It can be ignored until then, since the
# configuration is read later anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from violetstack.daemon.process import serve  # noqa: E402


def main() -> int:
    """Runs the dispatcher or a command; returns the exit status."""
    if len(sys.argv) > 1:
        from violetstack.commands.main import main as command

        command(prog_name="violetstack")
    return serve(os.environ.get("NODE_CONFIG", ""))


if __name__ == "__main__":
    sys.exit(main())
