"""Runs background tasks and restarts them on failure, so that a failure does not end the process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from violetstack.log import log_rate_limited

RESTART_DELAY_S = 0.1


def _do_nothing() -> None:
    """Default of `before_restart`."""


def start_background_task(
    nursery: trio.Nursery,
    run: Callable[..., Awaitable[None]],
    *arguments: object,
    before_restart: Callable[[], None] = _do_nothing,
) -> None:
    """Starts `run(*arguments)` in the nursery and restarts it whenever it raises an exception.

    Each failure is logged as `task_failed`; the restart follows after `RESTART_DELAY_S` and a call of
    `before_restart`.
    """

    async def supervise() -> None:
        while not await _run_once(run, *arguments):
            await trio.sleep(RESTART_DELAY_S)
            before_restart()

    nursery.start_soon(supervise, name=run)


async def _run_once(run: Callable[..., Awaitable[None]], *arguments: object) -> bool:
    """Returns True if the task returned, and False if it raised an exception."""
    try:
        await run(*arguments)
    except Exception as error:
        log_rate_limited("task_failed", task=getattr(run, "__qualname__", repr(run)), error=repr(error))
        return False
    return True
