"""HTTP as cheap as a stand-in needs it: it knows the other side and measures it, so it must not fall
behind."""

from __future__ import annotations

import trio

from violetstack.config import Address

READ = 64 * 1024


class Ended(Exception):
    """The other side ended the connection."""


class Wire:
    """One connection; what was read too much waits for the next message."""

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.rest = b""

    async def more(self) -> None:
        try:
            data = await self.stream.receive_some(READ)
        except trio.BrokenResourceError:
            data = b""
        if not data:
            raise Ended
        self.rest += data

    async def head(self) -> tuple[list[str], dict[str, str]]:
        """The first line's words, and the headers by their names in small letters."""
        while (end := self.rest.find(b"\r\n\r\n")) < 0:
            await self.more()
        first, *rows = self.rest[:end].decode("latin-1").split("\r\n")
        self.rest = self.rest[end + 4 :]
        pairs = (row.partition(":") for row in rows)
        return first.split(" ", 2), {name.strip().lower(): value.strip() for name, _, value in pairs}

    async def body(self, length: int) -> bytes:
        while len(self.rest) < length:
            await self.more()
        body = self.rest[:length]
        self.rest = self.rest[length:]
        return body

    async def send(self, data: bytes) -> None:
        try:
            await self.stream.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            raise Ended from None


def message(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    rows = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    return f"{first}\r\n{rows}Content-Length: {len(body)}\r\n\r\n".encode() + body


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST = b"0\r\n\r\n"


class Answer:
    """What a client saw: `status` 0 is none, `whole` a stream to its last chunk; `kept`: the connection
    stays."""

    def __init__(self) -> None:
        self.status = 0
        self.retry_after = 0.0
        self.first = False
        self.whole = False
        self.kept = False

    @property
    def outcome(self) -> str:
        if self.status in (429, 503):
            return "refused"
        if self.status != 200:
            return "failed" if self.status else "lost"
        return "served" if self.whole else "cut"


class Client:
    def __init__(self, stream: trio.SocketStream) -> None:
        self.wire = Wire(stream)
        self.answer = Answer()

    async def ask(self, request: bytes) -> None:
        """Until the answer's head and, of a stream, its first bytes."""
        await self.wire.send(request)
        words, headers = await self.wire.head()
        self.answer.status = int(words[1])
        self.answer.retry_after = float(headers.get("retry-after", 0.0))
        self.answer.kept = headers.get("connection", "").lower() != "close"
        if "chunked" not in headers.get("transfer-encoding", ""):
            await self.wire.body(int(headers.get("content-length", 0)))
            return
        while not self.wire.rest:
            await self.wire.more()
        self.answer.first = True

    async def finish(self) -> None:
        while not self.wire.rest.endswith(LAST):
            await self.wire.more()
        self.answer.whole = True
        self.wire.rest = b""


async def connect(at: Address, receive_buffer_bytes: int | None = None) -> trio.SocketStream:
    """`receive_buffer_bytes` bounds what this machine takes before it is read."""
    sock = trio.socket.socket()
    if receive_buffer_bytes is not None:
        sock.setsockopt(trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, receive_buffer_bytes)
    try:
        await sock.connect(at)
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)
