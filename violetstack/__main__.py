"""`python -m violetstack`: one real dispatcher."""

from __future__ import annotations

import sys

import trio

from violetstack.config import BadConfig, load
from violetstack.log import log
from violetstack.net.daemon import serve


def main() -> int:
    try:
        config = load()
    except BadConfig as error:
        log("bad_config", error=str(error))
        return 2
    trio.run(serve, config)
    return 0


if __name__ == "__main__":
    sys.exit(main())
