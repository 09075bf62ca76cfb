"""A minimal HTTP implementation for simulated hosts and clients.

It handles only what dispatchers send, so that the processes that measure them do not fall behind.
"""

from __future__ import annotations

import trio

from violetstack.config import Address

MAX_READ_BYTES = 64 * 1024


class Ended(Exception):
    """The other side ended the connection."""


class Wire:
    """One connection; bytes after the end of a message are kept for the next one."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.buffer = b""

    async def receive(self) -> None:
        """Receive more bytes into the buffer. Raises Ended."""
        try:
            data = await self.stream.receive_some(MAX_READ_BYTES)
        except trio.BrokenResourceError:
            data = b""
        if not data:
            raise Ended
        self.buffer += data

    async def head(self) -> tuple[list[str], dict[str, str]]:
        """Receive a head; return the parts of its first line, and the headers by lower-case name."""
        while (end := self.buffer.find(b"\r\n\r\n")) < 0:
            await self.receive()
        first, *rows = self.buffer[:end].decode("latin-1").split("\r\n")
        self.buffer = self.buffer[end + 4 :]
        pairs = (row.partition(":") for row in rows)
        return first.split(" ", 2), {name.strip().lower(): value.strip() for name, _, value in pairs}

    async def body(self, length: int) -> bytes:
        """Receive a body of known length."""
        while len(self.buffer) < length:
            await self.receive()
        body = self.buffer[:length]
        self.buffer = self.buffer[length:]
        return body

    async def send(self, data: bytes) -> None:
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise Ended from None


def message(first_line: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first_line}\r\n{rows}Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"


class Answer:
    """A response as its client saw it.

    Attributes:
        status: 0 if none arrived.
        stream_begun: Whether the first bytes of a stream arrived.
        complete: Whether a stream arrived up to its last chunk.
        keep_alive: Whether the connection stays open.
    """

    def __init__(self) -> None:
        self.status = 0
        self.retry_after = 0.0
        self.stream_begun = False
        self.complete = False
        self.keep_alive = False

    @property
    def outcome(self) -> str:
        if self.status in (429, 503):
            return "refused"
        if self.status != 200:
            return "failed" if self.status else "lost"
        return "served" if self.complete else "cut"


class Client:
    """Sends one request on a connection and receives the response."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.wire = Wire(stream)
        self.answer = Answer()

    async def send(self, request: bytes) -> None:
        """Send a request; receive a complete response, or the head and the first bytes of a stream."""
        await self.wire.send(request)
        status_line, headers = await self.wire.head()
        self.answer.status = int(status_line[1])
        self.answer.retry_after = float(headers.get("retry-after", 0.0))
        self.answer.keep_alive = headers.get("connection", "").lower() != "close"
        if "chunked" not in headers.get("transfer-encoding", ""):
            await self.wire.body(int(headers.get("content-length", 0)))
            return
        while not self.wire.buffer:
            await self.wire.receive()
        self.answer.stream_begun = True

    async def finish(self) -> None:
        """Receive a stream up to its last chunk."""
        while not self.wire.buffer.endswith(LAST_CHUNK):
            await self.wire.receive()
        self.answer.complete = True
        self.wire.buffer = b""


async def connect(address: Address, receive_buffer_bytes: int | None = None) -> trio.SocketStream:
    """Connect; `receive_buffer_bytes` limits how much is received before the program reads it."""
    sock = trio.socket.socket()
    if receive_buffer_bytes is not None:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, receive_buffer_bytes)
    try:
        await sock.connect(address)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
