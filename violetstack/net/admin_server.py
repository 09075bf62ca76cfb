"""The operators' listener: a few connections of its own, one call on each."""

from __future__ import annotations

import errno

import trio

from violetstack.admin.api import Call, House
from violetstack.log import log, log_rate_limited

MOST_CALLERS = 16  # descriptors of the door; at the bound the call unfinished longest gives way
CALL_S = 5.0  # a call is whole by then
ANSWER_S = 2.0  # an answer that is not read by then is for nobody
READ_SIZE = 2048


class DoorListener:
    """Guards the operators against the clients' crowds: neither takes the other's descriptors."""

    def __init__(self, house: House) -> None:
        self._house = house
        self._calls: dict[trio.CancelScope, None] = {}  # unfinished, the oldest first
        self._open = 0
        self._freed = trio.Event()

    async def run(self, listener: trio.SocketListener) -> None:
        """Serves until cancelled."""
        async with listener, trio.open_nursery() as nursery:
            while True:
                try:
                    stream = await listener.accept()
                except OSError as error:
                    if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOMEM):
                        raise
                    log("accept_failed", error=str(error))
                    await trio.sleep(0.05)
                    continue
                self._open += 1
                nursery.start_soon(self._serve, stream)
                while self._open >= MOST_CALLERS:
                    if self._calls:
                        oldest = next(iter(self._calls))
                        del self._calls[oldest]
                        oldest.cancel()
                    self._freed = trio.Event()
                    await self._freed.wait()

    async def _serve(self, stream: trio.SocketStream) -> None:
        scope = trio.CancelScope()
        self._calls[scope] = None
        try:
            with scope:
                await self._call(stream, scope)
            if scope.cancelled_caught:
                log_rate_limited("admin_call_rejected", path="", status=0, reason="made room for other calls")
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except Exception as error:  # no call's failure ends the nursery
            log_rate_limited("connection_failed", error=repr(error))
        finally:
            self._calls.pop(scope, None)
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)
            self._open -= 1
            self._freed.set()

    async def _call(self, stream: trio.SocketStream, scope: trio.CancelScope) -> None:
        call = Call(self._house, log_rate_limited)
        with trio.move_on_after(CALL_S) as late:
            while not call.answered:
                data = await stream.receive_some(READ_SIZE)
                if not data:
                    return
                words = call.feed(bytes(data))
                if words is not None:
                    await stream.send_all(words)
        self._calls.pop(scope, None)
        with trio.move_on_after(ANSWER_S):
            if late.cancelled_caught:
                await stream.send_all(call.late())
            # Guards against a reset that overtakes the answer, where more came than the call.
            await stream.send_eof()
            while await stream.receive_some(READ_SIZE):
                pass
