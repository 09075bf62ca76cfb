"""An HTTP server on a loopback port, the base of all scripted servers."""

from __future__ import annotations

import h11
import trio

from violetstack.protocol.http_server import Headers, HttpRequest, HttpServerConnection, InvalidRequestError


class PeerConnection:
    """One accepted connection, with the calls by which a script responds."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        self.stream = stream
        self.http = HttpServerConnection()

    async def _send(self, parts: list[bytes]) -> None:
        if parts:
            await self.stream.send_all(b"".join(parts))

    async def answer(self, status: int, headers: Headers, body: bytes = b"") -> None:
        await self._send(self.http.answer(status, headers, body))

    async def start(self, status: int, headers: Headers) -> None:
        await self._send(self.http.stream(status, headers))

    async def data(self, data: bytes) -> None:
        await self._send(self.http.data(data))

    async def end(self) -> None:
        await self._send(self.http.end())

    async def raw(self, data: bytes) -> None:
        """Send bytes, which need not be valid HTTP."""
        if data:
            await self.stream.send_all(data)

    async def until_closed(self) -> None:
        """Wait until the other side closes; data that it still sends is discarded."""
        try:
            while await self.stream.receive_some(4096):
                pass
        except trio.BrokenResourceError:
            pass


class Break(Exception):
    """Raised by a script to close the connection at once."""


class Peer:
    """A server that runs until it is cancelled; `address` is set once it has started."""

    def __init__(self) -> None:
        self.address = ""
        self.opened = 0
        self.connections: set[trio.CancelScope] = set()
        self._sockets: list[trio.SocketListener] = []
        self._accepting = trio.CancelScope()

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        raise NotImplementedError

    async def wrap(self, stream: trio.SocketStream) -> trio.abc.Stream:
        return stream

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        self._sockets = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = self._sockets[0].socket.getsockname()[:2]
        self.address = f"{host}:{port}"
        task_status.started()
        self._accepting = trio.CancelScope()
        with self._accepting:
            await trio.serve_listeners(self._connection, self._sockets)

    def die(self) -> None:
        """Behave like a killed process: connections break, and new ones are refused."""
        self._accepting.cancel()
        self.hang_up()

    def hang_up(self) -> None:
        for scope in list(self.connections):
            scope.cancel()

    async def _connection(self, raw: trio.SocketStream) -> None:
        self.opened += 1
        with trio.CancelScope() as scope:
            self.connections.add(scope)
            try:
                stream = await self.wrap(raw)
                await self._requests(PeerConnection(stream))
            except (Break, InvalidRequestError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            except h11.LocalProtocolError:
                pass  # the other side closed during a response
            finally:
                self.connections.discard(scope)
                with trio.CancelScope(shield=True):
                    await trio.aclose_forcefully(raw)

    async def _requests(self, connection: PeerConnection) -> None:
        while True:
            inbound = connection.http.next_request()
            if inbound is None and connection.http.input_pending:
                continue
            if inbound is None:
                data = await connection.stream.receive_some(64 * 1024)
                if not data:
                    return
                connection.http.feed(bytes(data))
                continue
            await self.handle(inbound, connection)
            if not connection.http.reuse():
                return
