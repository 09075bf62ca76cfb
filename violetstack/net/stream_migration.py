"""Streams that have begun, from a process that ends to its heir, with both their connections."""

from __future__ import annotations

import array
import contextlib
import os
import socket
from collections.abc import Callable
from pathlib import Path

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt
from violetstack.fronts.platform import PlatformSink
from violetstack.handover.stream_migration import GO, MAX_OFFER, NO, READY, BadOffer, Stream, decode, encode
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.driver import UpstreamDriver

WORD_S = 1.0  # the other process answers by then, or is taken for dead
BACKLOG = 4
ACCEPT_AGAIN_S = 0.1
Adopt = Callable[[Stream, socket.socket, socket.socket], None]


def socket_path(folder: str, owner: str) -> Path:
    return Path(folder) / f"violetstack-{owner}.sock"


@contextlib.contextmanager
def _short(path: Path):  # type: ignore[no-untyped-def]
    """Guards against folders deeper than an address of this family can be long."""
    folder = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{folder}/{path.name}"
    finally:
        os.close(folder)


class Giver:
    """The old process's side. After any failure it gives nothing more, and streams end where they are."""

    def __init__(self, core: Dispatcher) -> None:
        self._core = core
        self._sock: trio.socket.SocketType | None = None
        self._turn = trio.Lock()
        self.given = 0

    async def connect(self, path: Path) -> bool:
        sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with trio.fail_after(WORD_S), _short(path) as name:
                await sock.connect(name)
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            log("stream_migration_failed", error=repr(error))
            return False
        self._sock = sock
        return True

    async def give(self, attempt: Attempt, connection: UpstreamConnection, cached: int) -> bool:
        """Between two events. False: it goes on here."""
        request = attempt.request
        sink = attempt.request.sink
        if self._sock is None or not isinstance(sink, PlatformSink) or not connection.http.between_chunks:
            return False
        client = sink.reply.client
        if client is None or not self._core.can_migrate(attempt):
            return False
        if not await client.pause_for_migration():
            return False
        passed = False
        try:
            descriptor = client.descriptor
            if descriptor is None or not self._core.can_migrate(attempt):
                return False
            asked = request.policy_request
            stream = Stream(
                id=asked.id,
                cls=asked.class_index,
                tenant=asked.tenant_index,
                server=attempt.server,
                age_ms=now_ms() - request.arrived_at,
                events=attempt.events_forwarded,
                cached=cached,
                prompt_tokens=asked.prompt_tokens,
                loose=request.holds_remote_state,
                closing=client.http.ends,
            )
            async with self._turn:
                passed = await self._offer(stream, descriptor, connection.sock.fileno())
            if passed and not attempt.finished:
                self._core.stream_migrated(now_ms(), attempt)
                client.detach()
                self.given += 1
            return passed
        finally:
            if not passed:
                client.resume()

    async def _offer(self, stream: Stream, *descriptors: int) -> bool:
        sock = self._sock
        if sock is None:
            return False
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
        try:
            with trio.fail_after(WORD_S):
                await sock.sendmsg([encode(stream)], rights)
                word = await sock.recv(MAX_OFFER)
                if word == NO:
                    return False
                if word != READY:
                    raise OSError(f"an odd word: {word!r}")
            await sock.send(GO)
            return True
        except (OSError, trio.TooSlowError) as error:
            log("stream_migration_failed", id=stream.id, error=repr(error))
            self._sock = None
            sock.close()
            return False


class Taker:
    """The new process's side."""

    def __init__(
        self, core: Dispatcher, hosts: UpstreamDriver, listener: Callable[[], Listener | None]
    ) -> None:
        self._core = core
        self._hosts = hosts
        self._listener = listener

    async def run(self, path: Path, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Serves until cancelled."""
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            try:
                try:
                    with _short(path) as name:
                        await sock.bind(name)
                    os.chmod(path, 0o600)
                    sock.listen(BACKLOG)
                finally:
                    task_status.started()
            except OSError as error:
                log("stream_migration_failed", error=repr(error))  # streams end with their process, as before
                return
            try:
                async with trio.open_nursery() as nursery:
                    while True:
                        nursery.start_soon(self._take_all, await self._accepted(sock))
            finally:
                path.unlink(missing_ok=True)

    async def _accepted(self, sock: trio.socket.SocketType) -> trio.socket.SocketType:
        """Guards the program against an accept that fails, for want of a descriptor for example."""
        while True:
            try:
                giver, _ = await sock.accept()
                return giver
            except OSError as error:
                log_rate_limited("stream_migration_failed", error=repr(error))
                await trio.sleep(ACCEPT_AGAIN_S)

    async def _take_all(self, giver: trio.socket.SocketType) -> None:
        with giver:
            try:
                while await self._take(giver):
                    pass
            except OSError as error:
                log("stream_migration_failed", error=repr(error))
            except Exception as error:  # no stream's failure ends the nursery
                log_rate_limited("stream_migration_failed", error=repr(error))

    async def _take(self, giver: trio.socket.SocketType) -> bool:
        """One offer; False once there are no more."""
        room = socket.CMSG_SPACE(2 * array.array("i").itemsize)
        data, rights, _, _ = await giver.recvmsg(MAX_OFFER, room, socket.MSG_CMSG_CLOEXEC)
        held = [socket.socket(fileno=descriptor) for descriptor in _descriptors(rights)]
        taken = False
        try:
            if not data:
                return False
            stream = self._wanted(data, held)
            await giver.send(NO if stream is None else READY)
            if stream is None:
                return True
            # Without a limit of time: a GO that came as we gave up would leave the stream to nobody.
            # The other process's end is the bound.
            if await giver.recv(MAX_OFFER) == GO:
                self._adopt(stream, held[0], held[1])
                taken = True
            return taken
        finally:
            if not taken:
                for sock in held:
                    sock.close()

    def _wanted(self, data: bytes, held: list[socket.socket]) -> Stream | None:
        try:
            stream = decode(data, len(self._core.settings.classes))
            if len(held) != 2:
                raise BadOffer(f"{len(held)} descriptors")
            if stream.id in self._core.open_requests:
                raise BadOffer("a request with this id is open here")
            if self._listener() is None:
                raise BadOffer("this process takes no clients")
            return stream
        except BadOffer as error:
            log("stream_migration_rejected", reason=str(error))
            return None

    def _adopt(self, stream: Stream, client: socket.socket, host: socket.socket) -> None:
        listener = self._listener()
        if listener is None or stream.id in self._core.open_requests:
            raise BadOffer(f"{stream.id} came or this process ended between the two words")
        replies = listener.adopt(client, stream.closing)
        attempt = self._core.adopt_stream(now_ms(), stream, PlatformSink(replies, stream_started=True))
        replies.attach(attempt.request)
        self._hosts.adopt_stream(attempt, host, stream.cached, replies.wait_writable)


def _descriptors(rights: list[tuple[int, int, bytes]]) -> list[int]:
    found = array.array("i")
    for level, kind, data in rights:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            found.frombytes(data[: len(data) - len(data) % found.itemsize])
    return list(found)
