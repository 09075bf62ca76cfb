"""Client connections: one task reads, one writes; a request's front answers through `Connection`."""

from __future__ import annotations

import errno
import math
import select
import socket
from collections import deque
from collections.abc import Awaitable, Callable

import h11
import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import OpenRequest
from violetstack.fronts.reply import Client, Front
from violetstack.log import log, log_outside
from violetstack.net.clock import now_ms
from violetstack.protocol.server_side import Headers, Rejected, ServerSide

READ_SIZE = 32 * 1024
HIGH_WATER = 64 * 1024  # a client that reads slower than its stream comes makes the host wait from here on
STUCK_S = 20.0  # a client that reads nothing for so long has gone away
ARRIVE_S = 2.2  # a new connection's first request is whole by then, and any request that has begun to come
IDLE_S = 2.0  # a connection that has been idle for so long may be closed to make room
FRESH_S = 0.2  # a connection that has sent nothing yet may be
PARK_S = 0.3  # what waits for a client is written by then, or its answer is not passed on now
LINGER_S = 0.5  # after the last answer the client is heard out for so long
REST_S = 0.05
LONGEST_REST_S = 0.4
MAX_UNREAD = 64 * 1024
FLOOD_S = 0.01  # between two reads of what is dropped
MOST_TURNED_AWAY = 12  # at once; further ones are closed without a word
FULL = b"the dispatcher holds too many connections\n"
TURNED_AWAY = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: %d\r\n\r\n%b" % (len(FULL), FULL)
)
Wrap = Callable[[trio.SocketStream], Awaitable[trio.abc.Stream]]


SILENT = ServerSide()  # stands for the parser of all who have sent nothing; never fed


class Connection:
    """One client's connection. The answering methods never wait: what they write is queued.

    Guards the memory against those who connect and say nothing: parser, queue, events and the writing task
    come with the first byte.
    """

    __slots__ = (
        "__weakref__",
        "_answered",
        "_drained",
        "_finish",
        "_flushed",
        "_heard_out",
        "_more",
        "_out",
        "_parked",
        "_parking",
        "_queued",
        "_replies",
        "_resumed",
        "_strikes",
        "_timer",
        "answering",
        "closed",
        "held",
        "http",
        "last_used",
        "progress_at",
        "listener",
        "request",
        "scope",
        "served",
        "stream",
    )
    _out: deque[bytes | memoryview]
    _heard_out: trio.Event  # the client has ended its side
    _more: trio.Event
    _drained: trio.Event
    _answered: trio.Event
    _parked: trio.Event
    _resumed: trio.Event
    _flushed: trio.Event

    def __init__(self, stream: trio.abc.Stream, listener: Listener) -> None:
        self.stream = stream
        self.listener = listener
        self.http = SILENT
        self.request: OpenRequest | None = None
        self.answering = False  # a request was handed to the front and its answer has not ended
        self.last_used = self.progress_at = trio.current_time()
        self.served = False  # a whole request has come
        self._strikes = 0  # requests in a row that could not be taken
        self._queued = 0
        self.held = 0  # bytes of a request's body, here until its answer ends
        self.closed = False
        self._finish = False  # close once all is written
        self._replies: Replies | None = None
        self.scope = trio.CancelScope()
        self._timer: trio.CancelScope | None = None  # of what is being read
        self._parking = False

    def begin(self, http: ServerSide) -> None:
        """The first byte has come, or another process passed this on."""
        self.http = http
        self._out = deque()
        self._heard_out = trio.Event()
        self._more = trio.Event()
        self._drained = trio.Event()
        self._answered = trio.Event()
        self._flushed = trio.Event()

    # --- what a front calls ---

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        self._mark_closing()
        self._strikes = self._strikes + 1 if 400 <= status < 500 and self.request is None else 0
        self._put(self.http.answer(status, headers, body))
        self._ended()

    def stream_head(self, status: int, headers: Headers) -> None:
        self._mark_closing()
        self._strikes = 0
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
        if self._queued > HIGH_WATER and not self.closed:
            self._drained = trio.Event()
            await self._drained.wait()

    # --- passing it on to another process ---

    async def park(self) -> bool:
        if self.closed or self._finish or self._parking or not isinstance(self.stream, trio.SocketStream):
            return False
        if not self.answering or not self.http.passable or self._timer is None:
            return False
        self._parking = True
        self._parked = trio.Event()
        self._resumed = trio.Event()
        self._flushed = trio.Event()
        self._timer.cancel()
        self._more.set()
        try:
            with trio.fail_after(PARK_S):
                await self._parked.wait()
                if self._queued:
                    await self._flushed.wait()
        except trio.TooSlowError:
            pass
        if self.closed or self._queued or not self._parked.is_set() or not self.http.passable:
            self.resume()
            return False
        return True

    @property
    def descriptor(self) -> int | None:
        here = isinstance(self.stream, trio.SocketStream) and not self.closed
        return self.stream.socket.fileno() if here else None  # type: ignore[attr-defined]

    def resume(self) -> None:
        self._parking = False
        self._resumed.set()

    def passed(self) -> None:
        """Guards the other process's end: this one's is closed, and nothing is shut down or written."""
        self.request = None
        self._replies = None
        self.listener.forget(self)
        self.scope.cancel()

    # --- inside ---

    def client_has_closed(self) -> bool:
        """Has the client closed its connection, or ended its sending, whatever still lies unread before that?

        Reading alone shows the end only after all bytes before it: a request and the close behind it may both
        have waited in the kernel's queue while the listener had no room, or while this process was busy.
        """
        stream = self.stream.transport_stream if isinstance(self.stream, trio.SSLStream) else self.stream
        if self.closed or not isinstance(stream, trio.SocketStream):
            return self.closed
        poll = select.poll()
        poll.register(stream.socket, select.POLLRDHUP)
        return bool(poll.poll(0))

    def has_unread(self) -> bool:
        """Guards against closing over a request that has come but has not been read yet."""
        return isinstance(self.stream, trio.SocketStream) and self.stream.socket.is_readable()

    @property
    def unwritten(self) -> int:
        """Bytes of answers that wait for the client to read."""
        return self._queued

    def _mark_closing(self) -> None:
        self.http.closing = self.http.closing or self.listener.draining

    def _put(self, parts: list[bytes]) -> None:
        for part in parts:
            self._out.append(part)
            self._queued += len(part)
        self._more.set()

    def _ended(self) -> None:
        self.answering = False
        self.request = None
        self.last_used = trio.current_time()
        self.listener.hold(self, 0)
        if self.http.closing or (not self._finish and not self.http.reuse()):
            self._finish = True
        if not self._finish and not self.closed:
            self.listener.idle[self] = None
        self._more.set()
        self._answered.set()

    async def serve(self) -> None:
        try:
            with self.scope:
                if self.http is not SILENT or await self._speaks():
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(self._write)
                        await self._read()
                        if not self._finish:
                            nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except* Exception as errors:  # no connection's failure ends the nursery
            log_outside("connection_failed", error=repr(errors.exceptions[0]))
        finally:
            if self._replies is not None:
                self._replies.lost()
                self._replies = None
            self.closed = True
            self.listener.forget(self)
            if self.request is not None:
                self.listener.core.client_disconnected(now_ms(), self.request)
                self.request = None
            if self.http is not SILENT:
                self._drained.set()
            with trio.CancelScope(shield=True, deadline=trio.current_time() + 1.0):
                await trio.aclose_forcefully(self.stream)

    async def _speaks(self) -> bool:
        """Until the first byte, or the end of the time for one."""
        if isinstance(self.stream, trio.SocketStream):
            with trio.move_on_at(self.last_used + ARRIVE_S) as timer:
                await trio.lowlevel.wait_readable(self.stream.socket)
            if timer.cancelled_caught:
                log_outside("silent_closed")
                return False
        self.begin(ServerSide())
        # Guards against being dropped as silent, to make room, between these bytes' reading and their use.
        self.listener.progressed(self)
        return True

    async def _read(self) -> None:
        since = self.last_used  # a request that only trickles in has one limit for all of it
        while not self._finish:
            self._next()
            if self._finish:
                break
            arriving = not self.answering and (self.http.busy or not self.served)
            since = (since or trio.current_time()) if arriving else 0.0
            if self._parking:
                self._parked.set()
                await self._resumed.wait()
                continue
            with trio.move_on_at(since + ARRIVE_S if arriving else math.inf) as timer:
                self._timer = timer
                if self.answering and self.http.unread > MAX_UNREAD:
                    if await self._hear_out():
                        continue
                    return
                if self._strikes > 1 and not self.answering:
                    await self._rest()
                data = await self.stream.receive_some(READ_SIZE)
            self._timer = None
            if timer.cancelled_caught:
                if self._parking:
                    continue
                self._too_late()
                break
            if not data or self.scope.cancel_called:
                return  # dropped while the bytes were on their way here: what they ask for is not taken up
            self.http.feed(bytes(data))
            if not self.served:
                self.listener.progressed(self)
        while await self.stream.receive_some(READ_SIZE):
            pass  # what still comes is not wanted; the writer ends this
        self._heard_out.set()

    async def _hear_out(self) -> bool:
        """Until the answer's end, or the client's (False): what comes behind so much is dropped unread.

        Guards against work for a client that sends much at once and goes, which only reading on shows; the
        processor, by reading little at a time; and against taking up a request whose beginning was dropped.
        """
        self.http.closing = True
        while self.answering:
            await trio.sleep(FLOOD_S)
            if not await self.stream.receive_some(READ_SIZE):
                return False
        return True

    async def _rest(self) -> None:
        """Guards the processor for the usual clients: who sends only what can't be taken is read less often.

        The answers to it go out at once all the same.
        """
        await trio.sleep(min(LONGEST_REST_S, REST_S * 2.0 ** (self._strikes - 2)))

    def _too_late(self) -> None:
        if self.http.busy and self.http.can_answer:
            self._reject(408, "the request did not arrive in time")
        else:
            log_outside("silent_closed")
            self.scope.cancel()

    def _reject(self, status: int, reason: str) -> None:
        self.http.closing = self.answering = True
        self.listener.front.rejected(status, reason, Replies(self))

    def _next(self) -> None:
        """Hands the next whole request to the front, once the one before is answered."""
        while not self.answering and not self._finish:
            try:
                inbound = self.http.next_request()
            except Rejected as error:
                self._reject(error.status, error.reason)
                return
            self.listener.hold(self, self.http.size)
            if self.listener.full and self.http.size:
                # Guards the memory limit: many large bodies at once are turned away, which is harmless.
                self._reject(503, "too many requests are being held")
                return
            if inbound is None:
                if self.http.wants_continue:
                    self._put([self.http.continue_100()])
                return
            if self.listener.refusing:
                # Guards against taking what the end would cut off: its client asks again, elsewhere.
                self._reject(503, "this process ends")
                return
            if self.client_has_closed():
                self._finish = True
                self._more.set()
                return
            self.answering = True
            self.served = True
            self._answered = trio.Event()
            self.listener.engaged(self)
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
            self._flushed.set()
            self._more = trio.Event()
            await self._more.wait()

    async def _linger(self) -> None:
        """Guards against a reset that overtakes the answer: the client's side is heard out for a moment."""
        if isinstance(self.stream, trio.SocketStream):
            with trio.move_on_after(LINGER_S):
                await self.stream.send_eof()
                await self._heard_out.wait()


class Replies:
    """A front's view of the connection, good for one request; a late word for an ended one is dropped.

    Guards the memory as well: once over, it lets go of the connection, whoever still holds it.
    """

    def __init__(self, connection: Connection) -> None:
        self._connection: Connection | None = connection

    @property
    def gone(self) -> bool:
        return self._connection is None or self._connection.client_has_closed()

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

    @property
    def client(self) -> Client | None:
        return self._connection

    def opened(self, request: OpenRequest) -> None:
        if self._connection is not None:
            self._connection.request = request

    async def room(self) -> None:
        if self._connection is not None:
            await self._connection.room()

    def _once(self, act: Callable[[Connection], None]) -> None:
        connection = self._connection
        self._connection = None
        if connection is None:
            return
        try:
            act(connection)
        except h11.LocalProtocolError as error:
            log_outside("answer_lost", error=str(error))
            connection.cut()


class Listener:
    """Accepts all, holds a bounded number; on a drain it goes on until told to stop."""

    def __init__(self, core: Dispatcher, front: Front) -> None:
        self.core = core
        self.front = front
        self.most = self.most_held = 0  # connections, and bytes of bodies; set by the daemon
        self.held = self.shaking = self.turning_away = 0
        self.connections: set[Connection] = set()
        self.idle: dict[Connection, None] = {}  # answered and unused since, the longest first
        self.fresh: dict[Connection, None] = {}  # no whole request yet, the longest without progress first
        self.draining = self.refusing = False
        self.nursery: trio.Nursery

    async def run(
        self,
        listeners: list[trio.SocketListener],
        wrap: Wrap | None = None,
    ) -> None:
        """Serves until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            for listener in listeners:
                nursery.start_soon(self._accept, listener, nursery, wrap)

    async def _accept(
        self,
        listener: trio.SocketListener,
        nursery: trio.Nursery,
        wrap: Wrap | None,
    ) -> None:
        """Guards against clients that wait unseen in the kernel's queue: all are accepted, and the bound on
        descriptors is kept by closing whoever needs its connection least, or the newcomer.
        """
        while True:
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
            try:
                has_room = self._has_room()
            except Exception as error:  # no client's connection ends the nursery
                log_outside("accept_failed", error=repr(error))
                has_room = False
            if has_room:
                nursery.start_soon(self._serve, stream, wrap)
            elif self.turning_away < MOST_TURNED_AWAY and wrap is None:
                nursery.start_soon(self._turn_away, stream)
            else:
                log_outside("turned_away")
                await trio.aclose_forcefully(stream)

    async def _turn_away(self, stream: trio.SocketStream) -> None:
        log_outside("turned_away", status=503)
        self.turning_away += 1
        try:
            with trio.move_on_after(LINGER_S):
                await stream.send_all(TURNED_AWAY)
                await stream.send_eof()
                while await stream.receive_some(READ_SIZE):
                    pass
        except (OSError, trio.BrokenResourceError):
            pass
        finally:
            self.turning_away -= 1
            with trio.CancelScope(shield=True):
                await trio.aclose_forcefully(stream)

    def adopt(self, raw: socket.socket, closing: bool) -> Replies:
        """A connection with an answer under way, which another process has taken."""
        stream = trio.SocketStream(trio.socket.from_stdlib_socket(raw))
        connection = Connection(stream, self)
        connection.begin(ServerSide.resumed(closing))
        connection.answering = connection.served = True
        connection._replies = Replies(connection)
        self.connections.add(connection)
        self.nursery.start_soon(connection.serve)
        return connection._replies

    def _has_room(self) -> bool:
        return len(self.connections) + self.shaking < self.most or self._make_room()

    def _make_room(self) -> bool:
        """Long idle connections go first, then those that get nowhere, then any that is idle.

        The longest without progress stand first in either record, so that a flood costs no search through all
        connections, and who writes slowly outlives who writes nothing.
        """
        now = trio.current_time()
        oldest = next(iter(self.idle), None)
        if oldest is not None and oldest.last_used < now - IDLE_S and self._drop_unless_used(oldest):
            return True
        for connection in self.fresh:
            if connection.progress_at > now - FRESH_S:
                break
            if self._drop_unless_used(connection):
                return True
        return any(self._drop_unless_used(connection) for connection in self.idle)

    def _drop_unless_used(self, connection: Connection) -> bool:
        """Guards an answer that has ended and is not written yet, since its client reads slowly."""
        if connection.unwritten or connection.has_unread() or (connection.served and connection.http.busy):
            return False
        self._drop(connection)
        return True

    def _drop(self, connection: Connection) -> None:
        self.forget(connection)
        connection.scope.cancel()

    def engaged(self, connection: Connection) -> None:
        """A whole request has come: the connection is neither idle nor without use."""
        self.fresh.pop(connection, None)
        self.idle.pop(connection, None)

    def progressed(self, connection: Connection) -> None:
        """Some of a first request has come."""
        if self.fresh.pop(connection, connection) is None:
            self.fresh[connection] = None
            connection.progress_at = trio.current_time()

    def forget(self, connection: Connection) -> None:
        """Guards against a connection whose descriptor is gone, while its task still ends."""
        self.hold(connection, 0)
        self.engaged(connection)
        self.connections.discard(connection)

    def hold(self, connection: Connection, size: int) -> None:
        self.held += size - connection.held
        connection.held = size

    @property
    def full(self) -> bool:
        return self.held > self.most_held

    async def _serve(
        self,
        raw: trio.SocketStream,
        wrap: Wrap | None,
    ) -> None:
        stream: trio.abc.Stream = raw
        if wrap is not None:
            self.shaking += 1
            try:
                with trio.fail_after(ARRIVE_S):
                    stream = await wrap(raw)
            except (OSError, trio.BrokenResourceError, trio.TooSlowError) as error:
                log_outside("handshake_failed", error=repr(error))
                await trio.aclose_forcefully(raw)
                return
            finally:
                self.shaking -= 1
        connection = Connection(stream, self)
        self.connections.add(connection)
        self.fresh[connection] = None
        await connection.serve()

    @property
    def busy(self) -> bool:
        """Guards what has come and nobody has read yet, on a connection that was idle."""
        served = any(c.answering or c.http.busy or c.unwritten for c in self.connections)
        return served or any(c.has_unread() for c in self.idle)

    @property
    def awaited(self) -> bool:
        """Has somebody connected who has not asked yet? Each has its time for that."""
        return bool(self.fresh)

    def close_idle(self) -> None:
        """Guards against closing over a request on its way: whoever never asked here is heard once."""
        for connection in [c for c in self.idle if not c.answering]:
            self._drop_unless_used(connection)
