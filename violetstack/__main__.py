"""`python -m violetstack [--chat FILE]`: one real dispatcher."""

from __future__ import annotations

import argparse
import os
import signal
import sys

import trio

from violetstack.config import BadConfig, load
from violetstack.log import log
from violetstack.net.daemon import run


def main() -> int:
    parser = argparse.ArgumentParser(
        prog="violetstack", description="A dispatcher for two-stage LLM serving."
    )
    parser.add_argument(
        "--chat", metavar="FILE", help="serve the OpenAI-style front that this file configures"
    )
    asked = parser.parse_args()
    # Guards against a reload asked for while the program still starts: what it is about to read is the news.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    path = os.environ.get("NODE_CONFIG", "")
    try:
        config = load(path, asked.chat)
    except BadConfig as error:
        log("bad_config", error=str(error))
        return 2
    trio.run(run, config, lambda: load(path, asked.chat, again=True))
    return 0


if __name__ == "__main__":
    sys.exit(main())
