"""Background tasks whose failure must not end the process, and with it every request in flight."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import trio

from violetstack.log import log_rate_limited

RESTART_DELAY_S = 0.1


def _do_nothing() -> None:
    """For a task that begins anew without preparation."""


def start_background_task(
    nursery: trio.Nursery,
    run: Callable[..., Awaitable[None]],
    *arguments: object,
    before_restart: Callable[[], None] = _do_nothing,
) -> None:
    """Starts `run(*arguments)`; if it raises, logs `task_failed` and starts it again after a moment."""

    async def supervise() -> None:
        while not await _run_once(run, *arguments):
            await trio.sleep(RESTART_DELAY_S)
            before_restart()

    nursery.start_soon(supervise, name=run)


async def _run_once(run: Callable[..., Awaitable[None]], *arguments: object) -> bool:
    """Returns whether the task came to its end."""
    try:
        await run(*arguments)
    except Exception as error:
        log_rate_limited("task_failed", task=getattr(run, "__qualname__", repr(run)), error=repr(error))
        return False
    return True
