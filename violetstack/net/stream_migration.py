"""Migrates open streams, with their two connections, from a process that shuts down to its successor.

The sockets are passed as ancillary data (SCM_RIGHTS) over a Unix socket in the shared directory. See
`violetstack.handover.stream_migration` for the messages and their order.
"""

from __future__ import annotations

import array
import contextlib
import os
import socket
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import NamedTuple

import trio
from msgspec import UNSET

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt
from violetstack.fronts.platform import PlatformSink
from violetstack.fronts.reply import MigratableConnection
from violetstack.handover.errors import InvalidOfferError
from violetstack.handover.stream_migration import (
    COMMIT,
    DECLINE,
    MAX_MESSAGE_BYTES,
    READY,
    StreamOffer,
    decode_offer,
    encode_offer,
)
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener
from violetstack.net.upstream.connection import UpstreamConnection
from violetstack.net.upstream.driver import UpstreamDriver
from violetstack.net.upstream.stream_progress import StreamPosition

REPLY_TIMEOUT_S = 1.0  # a successor that takes longer to reply is assumed to have failed
ACCEPT_RETRY_S = 0.1
BACKLOG = 4
SOCKETS_PER_STREAM = 2
SOCKET_MODE = 0o600

# One item of ancillary data as returned by `recvmsg`: level, type, data.
AncillaryData = tuple[int, int, bytes]


class StreamSockets(NamedTuple):
    """The sockets of a stream's two connections."""

    client: socket.socket
    host: socket.socket


def socket_path(directory: str, process_id: str) -> Path:
    """Returns the path at which the process with this id receives streams."""
    return Path(directory) / f"violetstack-{process_id}.sock"


@contextlib.contextmanager
def _short_address(path: Path) -> Iterator[str]:
    """Yields an address for `path` that fits the 108 bytes of `sockaddr_un` at any directory depth."""
    directory = os.open(path.parent, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{directory}/{path.name}"
    finally:
        os.close(directory)


class StreamSender:
    """The predecessor's side. After a failure it offers no more streams, which then end in this process.

    Attributes:
        migrated: Number of streams taken over by the successor.
    """

    def __init__(self, core: Dispatcher) -> None:
        """Creates a sender that is not connected, for the streams of `core`."""
        self.migrated = 0
        self._core = core
        self._sock: trio.socket.SocketType | None = None
        self._one_offer_at_a_time = trio.Lock()

    async def connect(self, path: Path) -> bool:
        """Connects to the successor's socket; returns whether that succeeded."""
        sock = trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with trio.fail_after(REPLY_TIMEOUT_S), _short_address(path) as address:
                await sock.connect(address)
        except (OSError, trio.TooSlowError) as error:
            sock.close()
            log("stream_migration_failed", error=repr(error))
            return False
        self._sock = sock
        return True

    async def migrate(
        self, attempt: Attempt, connection: UpstreamConnection, position: Callable[[], StreamPosition]
    ) -> bool:
        """Offers the stream of an attempt to the successor, between two of its events.

        Args:
            attempt: An attempt whose response has started.
            connection: Its connection to the host.
            position: Returns how far the stream has come.

        Returns:
            Whether the successor took over the stream. If not, the stream continues in this process.
        """
        sink = attempt.request.sink
        if self._sock is None or not isinstance(sink, PlatformSink) or not connection.http.between_chunks:
            return False
        client = sink.reply.client
        if client is None or not self._core.can_migrate(attempt) or not await client.pause_for_migration():
            return False
        migrated = False
        try:
            migrated = await self._migrate_paused(attempt, connection, client, position)
            return migrated
        finally:
            if not migrated:
                client.resume()

    async def _migrate_paused(
        self,
        attempt: Attempt,
        connection: UpstreamConnection,
        client: MigratableConnection,
        position: Callable[[], StreamPosition],
    ) -> bool:
        client_descriptor = client.descriptor
        if client_descriptor is None or not self._core.can_migrate(attempt):
            return False  # one of the two connections was closed while the client was paused
        async with self._one_offer_at_a_time:
            offer = _describe_stream(attempt, position(), client.http.closes_after_response)
            committed = await self._offer(offer, client_descriptor, connection.sock.fileno())
        if committed and not attempt.finished:
            self._core.stream_migrated(now_ms(), attempt)
            client.detach()
            self.migrated += 1
        return committed

    async def _offer(self, offer: StreamOffer, *descriptors: int) -> bool:
        """Offers a stream; returns whether it was committed. After a failure no other stream is offered."""
        sock = self._sock
        if sock is None:
            return False
        try:
            return await self._exchange_messages(sock, offer, descriptors)
        except (OSError, trio.TooSlowError) as error:
            log("stream_migration_failed", id=offer.id, error=repr(error))
            self._sock = None
            sock.close()
            return False

    async def _exchange_messages(
        self, sock: trio.socket.SocketType, offer: StreamOffer, descriptors: tuple[int, ...]
    ) -> bool:
        """Returns whether the successor accepted the offer; raises OSError or TooSlowError."""
        rights = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array.array("i", descriptors))]
        with trio.fail_after(REPLY_TIMEOUT_S):
            await sock.sendmsg([encode_offer(offer)], rights)
            reply = await sock.recv(MAX_MESSAGE_BYTES)
        if reply == DECLINE:
            return False
        if reply != READY:
            raise OSError(f"unexpected reply to a stream offer: {reply!r}")
        await sock.send(COMMIT)
        return True


def _describe_stream(attempt: Attempt, position: StreamPosition, closing: bool) -> StreamOffer:
    request = attempt.request
    return StreamOffer(
        id=request.policy_request.id,
        class_index=request.policy_request.class_index,
        tenant_index=request.policy_request.tenant_index,
        server=attempt.server,
        age_ms=now_ms() - request.arrived_at,
        events_forwarded=attempt.events_forwarded,
        cached_tokens=position.cached_tokens,
        prompt_tokens=request.policy_request.prompt_tokens,
        holds_remote_state=request.hold.needs_release,
        closing=closing,
        done=UNSET if position.done is None else position.done,
        idle_ms=position.idle_ms,
    )


class StreamReceiver:
    """The successor's side."""

    def __init__(
        self, core: Dispatcher, hosts: UpstreamDriver, listener: Callable[[], Listener | None]
    ) -> None:
        """Creates a receiver that is not listening yet.

        Args:
            core: The dispatcher that continues the streams.
            hosts: Takes over the connections to the hosts.
            listener: Returns the listener that takes over the client connections, None while no clients are
                accepted.
        """
        self._core = core
        self._hosts = hosts
        self._listener = listener

    async def run(self, path: Path, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        """Receives streams at `path` until cancelled; returns at once if it cannot listen there."""
        with trio.socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as sock:
            try:
                try:
                    await self._listen(sock, path)
                finally:
                    task_status.started()
            except OSError as error:
                log("stream_migration_failed", error=repr(error))  # the streams end in the predecessor
                return
            try:
                async with trio.open_nursery() as nursery:
                    while True:
                        nursery.start_soon(self._serve_sender, await self._accept(sock))
            finally:
                _remove(path)

    async def _listen(self, sock: trio.socket.SocketType, path: Path) -> None:
        with _short_address(path) as address:
            await sock.bind(address)
        os.chmod(path, SOCKET_MODE)
        sock.listen(BACKLOG)

    async def _accept(self, sock: trio.socket.SocketType) -> trio.socket.SocketType:
        """Accepts one sender; a failure, for example EMFILE, is logged and retried."""
        while True:
            try:
                sender, _ = await sock.accept()
            except OSError as error:
                log_rate_limited("stream_migration_failed", error=repr(error))
                await trio.sleep(ACCEPT_RETRY_S)
            else:
                return sender

    async def _serve_sender(self, sender: trio.socket.SocketType) -> None:
        with sender:
            try:
                while await self._receive(sender):
                    pass
            except OSError as error:
                log("stream_migration_failed", error=repr(error))
            except Exception as error:  # the failure of one stream must not end the service
                log_rate_limited("stream_migration_failed", error=repr(error))

    async def _receive(self, sender: trio.socket.SocketType) -> bool:
        """Receives one offer; returns whether another may follow."""
        descriptor_space = socket.CMSG_SPACE(SOCKETS_PER_STREAM * array.array("i").itemsize)
        data, ancillary, _, _ = await sender.recvmsg(
            MAX_MESSAGE_BYTES, descriptor_space, socket.MSG_CMSG_CLOEXEC
        )
        sockets = [socket.socket(fileno=descriptor) for descriptor in _descriptors(ancillary)]
        adopted = False
        try:
            if not data:
                return False
            offer = self._accept_offer(data, sockets)
            await sender.send(DECLINE if offer is None else READY)
            if offer is None:
                return True
            # There is no timeout, because a COMMIT that arrives just as it expires would leave the stream
            # with neither process. The wait ends when the predecessor exits, since that closes its socket.
            if await sender.recv(MAX_MESSAGE_BYTES) == COMMIT:
                self._adopt(offer, StreamSockets(*sockets))
                adopted = True
            return adopted
        finally:
            if not adopted:
                for sock in sockets:
                    sock.close()

    def _accept_offer(self, data: bytes, sockets: list[socket.socket]) -> StreamOffer | None:
        """Returns the offer, or None if this process cannot take it over."""
        try:
            return self._validate_offer(data, sockets)
        except InvalidOfferError as error:
            log("stream_migration_rejected", reason=error.reason)
            return None

    def _validate_offer(self, data: bytes, sockets: list[socket.socket]) -> StreamOffer:
        """Decodes and checks an offer; raises InvalidOfferError."""
        offer = decode_offer(data, len(self._core.settings.classes))
        if len(sockets) != SOCKETS_PER_STREAM:
            raise InvalidOfferError(f"received {len(sockets)} sockets, expected {SOCKETS_PER_STREAM}")
        if offer.id in self._core.open_requests:
            raise InvalidOfferError(f"request {offer.id!r} is already open")
        if self._listener() is None:
            raise InvalidOfferError("this process accepts no clients")
        return offer

    def _adopt(self, offer: StreamOffer, sockets: StreamSockets) -> None:
        """Continues a stream after COMMIT.

        Raises:
            InvalidOfferError: Since READY, the request was opened here or this process stopped accepting
                clients.
        """
        listener = self._listener()
        if listener is None or offer.id in self._core.open_requests:
            raise InvalidOfferError(f"request {offer.id!r} can no longer be accepted")
        replies = listener.adopt(sockets.client, offer.closing)
        attempt = self._core.adopt_stream(now_ms(), offer, PlatformSink(replies, stream_started=True))
        replies.attach(attempt.request)
        position = StreamPosition(
            offer.cached_tokens,
            None if offer.done is UNSET else offer.done,
            0.0 if offer.idle_ms is UNSET else offer.idle_ms,
        )
        self._hosts.adopt_stream(attempt, sockets.host, position, replies.wait_writable)


def _remove(path: Path) -> None:
    """Deletes the file of the socket. This takes microseconds, so it may block the event loop."""
    path.unlink(missing_ok=True)


def _descriptors(ancillary: list[AncillaryData]) -> list[int]:
    """Returns the file descriptors in the ancillary data of a message."""
    descriptors = array.array("i")
    for level, kind, data in ancillary:
        if (level, kind) == (socket.SOL_SOCKET, socket.SCM_RIGHTS):
            descriptors.frombytes(data[: len(data) - len(data) % descriptors.itemsize])
    return list(descriptors)
