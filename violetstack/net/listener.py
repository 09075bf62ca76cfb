"""Client connections: one task reads, one writes; a request's front answers through `Connection`."""

from __future__ import annotations

import errno
import math
from collections import deque
from collections.abc import Awaitable, Callable

import h11
import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import OpenRequest
from violetstack.fronts.reply import Front
from violetstack.log import log
from violetstack.net.clock import now_ms
from violetstack.protocol.server_side import Headers, Rejected, ServerSide

READ_SIZE = 32 * 1024
HIGH_WATER = 64 * 1024  # a client that reads slower than its stream comes makes the host wait from here on
STUCK_S = 20.0  # a client that reads nothing for so long has gone away
HEAD_S = 20.0  # a request that has begun to arrive is whole by then
MAX_UNREAD = 64 * 1024
Wrap = Callable[[trio.SocketStream], Awaitable[trio.abc.Stream]]


class Connection:
    """One client's connection. The answering methods never wait: what they write is queued."""

    def __init__(self, stream: trio.abc.Stream, listener: Listener) -> None:
        self.stream, self.listener = stream, listener
        self.http = ServerSide()
        self.request: OpenRequest | None = None
        self.answering = False  # a request was handed to the front and its answer has not ended
        self.last_used = trio.current_time()
        self._out: deque[bytes | memoryview] = deque()
        self._queued = 0
        self.held = 0  # bytes of a request's body, here until its answer ends
        self._closed = False
        self._finish = False  # close once all is written
        self._more = trio.Event()
        self._drained = trio.Event()
        self._answered = trio.Event()
        self._replies: Replies | None = None
        self.scope = trio.CancelScope()

    # --- what a front calls ---

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._mark_closing()
        self._put(self.http.answer(status, headers, body))
        self._ended()

    def stream_head(self, status: int, headers: Headers) -> None:
        self._mark_closing()
        self._put(self.http.stream(status, headers))

    def data(self, data: memoryview | bytes) -> None:
        self._put(self.http.data(data))

    def end(self) -> None:
        self._put(self.http.end())
        self._ended()

    def cut(self) -> None:
        """Guards against a broken stream that looks whole: what came is written, then the connection ends."""
        self._finish = True
        self._ended()

    async def room(self) -> None:
        if self._queued > HIGH_WATER and not self._closed:
            self._drained = trio.Event()
            await self._drained.wait()

    # --- inside ---

    def _mark_closing(self) -> None:
        self.http.closing = self.http.closing or self.listener.draining

    def _put(self, parts: list[bytes]) -> None:
        for part in parts:
            self._out.append(part)
            self._queued += len(part)
        self._more.set()

    def _ended(self) -> None:
        self.answering, self.request = False, None
        self.last_used = trio.current_time()
        self.listener.hold(self, 0)
        if self.http.closing or (not self._finish and not self.http.reuse()):
            self._finish = True
        self._more.set()
        self._answered.set()

    async def serve(self) -> None:
        try:
            with self.scope:
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(self._write)
                    await self._read()
                    if not self._finish:
                        nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception as errors:  # no connection's failure ends the nursery
            log("connection_failed", error=repr(errors.exceptions[0]))
        finally:
            if self._replies is not None:
                self._replies.lost()
                self._replies = None
            self._closed = True
            self.listener.hold(self, 0)
            if self.request is not None:
                self.listener.core.client_left(now_ms(), self.request)
                self.request = None
            self._drained.set()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await trio.aclose_forcefully(self.stream)

    async def _read(self) -> None:
        since = 0.0  # a request that only trickles in has one limit for all of it
        while not self._finish:
            self._next()
            arriving = self.http.busy and not self.answering
            since = (since or trio.current_time()) if arriving else 0.0
            with trio.move_on_at(since + HEAD_S if arriving else math.inf) as timer:
                if self.answering and self.http.unread > MAX_UNREAD:
                    await self._answered.wait()
                    continue
                data = await self.stream.receive_some(READ_SIZE)
            if timer.cancelled_caught or not data:
                return
            self.http.feed(bytes(data))

    def _next(self) -> None:
        """Hands the next whole request to the front, once the one before is answered."""
        while not self.answering and not self._finish:
            try:
                inbound = self.http.next_request()
            except Rejected as error:
                self.http.closing = self.answering = True
                self.listener.front.rejected(error.status, error.reason, Replies(self))
                return
            self.listener.hold(self, self.http.size)
            if self.listener.full and self.http.size:
                # Guards the memory limit: many large bodies at once are turned away, which is harmless.
                self.http.closing = self.answering = True
                self.listener.front.rejected(503, "too many requests are being held", Replies(self))
                return
            if inbound is None:
                if self.http.wants_continue:
                    self._put([self.http.continue_100()])
                return
            self.answering, self._answered = True, trio.Event()
            self._replies = Replies(self)
            self.listener.front.handle(inbound, self._replies)

    async def _write(self) -> None:
        while True:
            while self._out:
                part = self._out.popleft()
                small = [part]
                size = len(part)
                while self._out and size + len(self._out[0]) <= READ_SIZE:
                    small.append(self._out.popleft())
                    size += len(small[-1])
                with trio.fail_after(STUCK_S):
                    await self.stream.send_all(b"".join(small) if len(small) > 1 else part)
                self._queued -= size
                if self._queued <= HIGH_WATER:
                    self._drained.set()
            if self._finish:
                if self.http.can_answer or self.http.closing:
                    await self._linger()
                self.scope.cancel()
                return
            self._more = trio.Event()
            await self._more.wait()

    async def _linger(self) -> None:
        """Guards against a reset that overtakes the answer: the client's side is heard out for a moment."""
        if isinstance(self.stream, trio.SocketStream):
            with trio.move_on_after(0.5):
                await self.stream.send_eof()
                while await self.stream.receive_some(READ_SIZE):
                    pass


class Replies:
    """A front's view of the connection, good for one request; a late word for an ended one is dropped.

    Guards the memory as well: once over, it lets go of the connection, whoever still holds it.
    """

    def __init__(self, connection: Connection) -> None:
        self._connection: Connection | None = connection

    @property
    def gone(self) -> bool:
        return self._connection is None

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._once(lambda connection: connection.answer(status, headers, body))

    def stream(self, status: int, headers: Headers) -> None:
        if self._connection is not None:
            self._connection.stream_head(status, headers)

    def data(self, data: memoryview | bytes) -> None:
        if self._connection is not None:
            self._connection.data(data)

    def end(self) -> None:
        self._once(lambda connection: connection.end())

    def cut(self) -> None:
        self._once(lambda connection: connection.cut())

    def lost(self) -> None:
        self._connection = None

    def opened(self, request: OpenRequest) -> None:
        if self._connection is not None:
            self._connection.request = request

    async def room(self) -> None:
        if self._connection is not None:
            await self._connection.room()

    def _once(self, act: Callable[[Connection], None]) -> None:
        connection, self._connection = self._connection, None
        if connection is None:
            return
        try:
            act(connection)
        except h11.LocalProtocolError as error:
            log("answer_lost", error=str(error))
            connection.cut()


class Listener:
    """Accepts, within a bound on connections; on a drain it goes on until told to stop."""

    def __init__(self, core: Dispatcher, front: Front) -> None:
        self.core, self.front = core, front
        self.most = self.most_held = 0  # connections, and bytes of bodies; set by the daemon
        self.held, self.shaking = 0, 0
        self.connections: set[Connection] = set()
        self.draining = False
        self._left = trio.Event()

    async def run(
        self,
        listeners: list[trio.SocketListener],
        wrap: Wrap | None = None,
    ) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            for listener in listeners:
                nursery.start_soon(self._accept, listener, nursery, wrap)

    async def _accept(
        self,
        listener: trio.SocketListener,
        nursery: trio.Nursery,
        wrap: Wrap | None,
    ) -> None:
        while True:
            while len(self.connections) + self.shaking >= self.most and not self._drop_idle():
                # Guards against running out of descriptors: further clients wait in the kernel's queue.
                self._left = trio.Event()
                await self._left.wait()
            try:
                stream = await listener.accept()
            except trio.ClosedResourceError:
                return  # a drain has ended the listening
            except OSError as error:
                if error.errno not in (errno.EMFILE, errno.ENFILE, errno.ECONNABORTED, errno.ENOMEM):
                    raise
                log("accept_failed", error=str(error))
                await trio.sleep(0.1)
                continue
            nursery.start_soon(self._serve, stream, wrap)

    def hold(self, connection: Connection, size: int) -> None:
        self.held += size - connection.held
        connection.held = size

    @property
    def full(self) -> bool:
        return self.held > self.most_held

    def _drop_idle(self) -> bool:
        idle = [c for c in self.connections if not c.answering and not c.http.busy]
        if not idle:
            return False
        oldest = min(idle, key=lambda c: c.last_used)
        self.connections.discard(oldest)
        oldest.scope.cancel()
        return True

    async def _serve(
        self,
        raw: trio.SocketStream,
        wrap: Wrap | None,
    ) -> None:
        stream: trio.abc.Stream = raw
        if wrap is not None:
            self.shaking += 1
            try:
                with trio.fail_after(10.0):
                    stream = await wrap(raw)
            except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
                log("handshake_failed", error=repr(error))
                await trio.aclose_forcefully(raw)
                return
            finally:
                self.shaking -= 1
                self._left.set()
        connection = Connection(stream, self)
        self.connections.add(connection)
        try:
            await connection.serve()
        finally:
            self.connections.discard(connection)
            self._left.set()

    @property
    def busy(self) -> bool:
        return any(c.answering or c.http.busy or c._queued for c in self.connections)

    def close_idle(self) -> None:
        while self._drop_idle():
            pass
