"""Sends and receives the UDP datagrams between the dispatchers of a tier."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable, Sequence
from typing import Protocol

import trio

from violetstack.config import Address
from violetstack.gossip.codec import MAX_DATAGRAM_BYTES
from violetstack.log import log_rate_limited
from violetstack.net.transient_errors import is_readable
from violetstack.policy_api import GossipReceived

BIND_RETRY_S = 1.0
MAX_UNSENT_DATAGRAMS = 4
READ_BATCH = 64  # datagrams read before other tasks run


class DatagramHandler(Protocol):
    """Called with each datagram of a peer."""

    def __call__(self, peer: int, payload: bytes, /) -> None:
        """Handles a datagram from the peer with this number."""


class LeaseDatagramHandler(Protocol):
    """Called with each datagram of a peer, to handle those about leases."""

    def __call__(self, peer: int, payload: bytes, /) -> bool:
        """Handles the datagram if it is about leases; returns whether it is."""


class GossipSink(Protocol):
    """The part of the core that receives load gossip."""

    def gossip_received(self, message: GossipReceived) -> None:
        """Queues a datagram as an event for the policy."""


class GossipTransport:
    """Exchanges datagrams with all peers over one UDP socket.

    The sender's address identifies the peer; datagrams from any other address are dropped. Sending never
    waits: a datagram that cannot be sent at once is dropped, as it might be in the network.

    Attributes:
        bound: Whether the socket is bound.
    """

    def __init__(
        self,
        address: Address,
        peers: Sequence[Address],
        broadcast_address: Address | None = None,
        *,
        reuse_address: bool = False,
    ) -> None:
        """Configures the transport; `run` opens the socket.

        Args:
            address: The address to bind.
            peers: The addresses of all dispatchers of the tier, including this one, by number.
            broadcast_address: Delivers one datagram to all peers; without it, each peer is sent a copy.
            reuse_address: Allows a hot restart, in which the successor binds the same address while its
                predecessor runs, and receives all datagrams from then on. Both processes have to set it.
        """
        self.bound = False
        self._address = address
        self._reuse_address = reuse_address
        self._peers = tuple(peers)
        self._peer_numbers = {peer: number for number, peer in enumerate(peers)}
        if broadcast_address is not None:
            self._broadcast_to = [broadcast_address]
        else:
            self._broadcast_to = [peer for peer in peers if peer != address]
        self._sending_socket: socket.socket | None = None
        self._receiving_socket: trio.socket.SocketType | None = None
        self._unsent: list[bytes] = []

    async def run(self, handle: DatagramHandler) -> None:
        """Binds the socket, then calls `handle` for each datagram of a peer; never returns."""
        raw_socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with trio.socket.from_stdlib_socket(raw_socket) as trio_socket:
            if self._reuse_address:
                trio_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await self._bind(trio_socket)
            self._sending_socket = raw_socket
            self._receiving_socket = trio_socket
            self.bound = True
            for payload in self._unsent:
                self.broadcast(payload)
            self._unsent = []
            while True:
                # If a peer's port is closed, Linux reports an error on the next receive.
                with contextlib.suppress(OSError):
                    await self._read_batch(trio_socket, handle)

    def has_unread_input(self) -> bool:
        """Returns whether an unread datagram is waiting."""
        receiving = self._receiving_socket
        return receiving is not None and is_readable(receiving, if_unknown=False)

    def broadcast(self, payload: bytes) -> None:
        """Sends a datagram to all peers.

        Up to MAX_UNSENT_DATAGRAMS are kept until the socket is bound, because a reset datagram sent at
        startup clears the load of this dispatcher's previous process from the counts of its peers.
        """
        if not self.bound:
            self._unsent = [*self._unsent, payload][:MAX_UNSENT_DATAGRAMS]
            return
        for peer in self._broadcast_to:
            self._send_to(payload, peer)

    def send(self, peer: int, payload: bytes) -> None:
        """Sends a datagram to the peer with this number."""
        self._send_to(payload, self._peers[peer])

    async def _bind(self, trio_socket: trio.socket.SocketType) -> None:
        """Binds the socket, retrying until it succeeds; requests are served without gossip meanwhile."""
        while True:
            try:
                await trio_socket.bind(self._address)
            except OSError as error:
                log_rate_limited("gossip_bind_failed", at=format_address(self._address), error=str(error))
                await trio.sleep(BIND_RETRY_S)
            else:
                return

    async def _read_batch(self, trio_socket: trio.socket.SocketType, handle: DatagramHandler) -> None:
        """Waits for a datagram, then reads up to `READ_BATCH` more that have arrived."""
        self._dispatch(*await trio_socket.recvfrom(MAX_DATAGRAM_BYTES + 1), handle)
        for _ in range(READ_BATCH):
            if not is_readable(trio_socket, if_unknown=False):
                return
            self._dispatch(*await trio_socket.recvfrom(MAX_DATAGRAM_BYTES + 1), handle)

    def _dispatch(self, payload: bytes, sender: Address, handle: DatagramHandler) -> None:
        if sender == self._address:
            return  # this dispatcher's own broadcast
        peer = self._peer_numbers.get(sender)
        if peer is not None and len(payload) <= MAX_DATAGRAM_BYTES:
            handle(peer, payload)
            return
        reason = "sender is not a peer of this tier" if peer is None else "datagram is too long"
        log_rate_limited("gossip_datagram_rejected", sender=format_address(sender), reason=reason)

    def _send_to(self, payload: bytes, address: Address) -> None:
        if self._sending_socket is not None:
            with contextlib.suppress(OSError):
                self._sending_socket.sendto(payload, address)


class DatagramDemultiplexer:
    """Passes the datagrams of peers to the lease service or, as load gossip, to the core."""

    def __init__(
        self,
        core: GossipSink,
        *,
        discard: Callable[[], bool] = lambda: False,
        handle_lease: LeaseDatagramHandler | None = None,
    ) -> None:
        """Creates a demultiplexer for these receivers.

        Args:
            core: Receives load gossip.
            discard: Whether to drop datagrams now. Datagrams that queued up during a pause of the process
                describe a past state, and some of them were lost.
            handle_lease: Receives lease datagrams; None without leases.
        """
        self._core = core
        self._discard = discard
        self._handle_lease = handle_lease

    def receive(self, peer: int, payload: bytes) -> None:
        """Handles one datagram of a peer."""
        if self._discard():
            return
        if self._handle_lease is not None and self._handle_lease(peer, payload):
            return
        self._core.gossip_received(GossipReceived(peer, payload))


def format_address(address: Address) -> str:
    """Returns `host:port`."""
    return f"{address[0]}:{address[1]}"
