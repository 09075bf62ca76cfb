"""Datagrams to and from the other dispatchers of the tier."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Callable

import trio

from violetstack.config import Address
from violetstack.core.dispatcher import Dispatcher
from violetstack.gossip.codec import MAX_DATAGRAM_BYTES
from violetstack.log import log_rate_limited
from violetstack.policy_api import GossipReceived

BIND_AGAIN_S = 1.0
MOST_UNSAID = 4
MOST_AT_ONCE = 64  # datagrams read before other tasks get their turn


class Peers:
    """One socket; the sender's address tells its number, and whoever is not among the peers is not heard."""

    def __init__(
        self,
        core: Dispatcher,
        at: Address,
        peers: list[Address],
        everyone: Address | None,
        heirs: bool = False,
    ) -> None:
        self._core = core
        self._at = at
        self._heirs = heirs
        self._numbers = {peer: n for n, peer in enumerate(peers)}
        self._all = peers
        self._to = [everyone] if everyone is not None else [peer for peer in peers if peer != at]
        self._raw: socket.socket | None = None
        self._sock: trio.socket.SocketType | None = None
        self._unsaid: list[bytes] = []
        self.deaf: Callable[[], bool] = lambda: False  # what lay unread over a gap is not believed
        self.duties: Callable[[int, bytes], bool] | None = None  # True: it was for them

    async def run(self) -> None:
        raw = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with trio.socket.from_stdlib_socket(raw) as sock:
            if self._heirs:
                # An heir binds beside its predecessor and hears alone from then on; both must ask for it.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            await self._bind(sock)
            self._raw = raw
            self._sock = sock
            for payload in self._unsaid:
                self.tell(payload)
            self._unsaid = []
            while True:
                try:
                    self._heard(*await sock.recvfrom(MAX_DATAGRAM_BYTES + 1))
                    for _ in range(MOST_AT_ONCE):
                        if not sock.is_readable():
                            break
                        self._heard(*await sock.recvfrom(MAX_DATAGRAM_BYTES + 1))
                except OSError:
                    continue  # a peer that is down shows here as refused; the next one may be heard

    def pending(self) -> bool:
        return self._sock is not None and self._sock.is_readable()

    async def _bind(self, sock: trio.socket.SocketType) -> None:
        """Guards the service: who can't hear the others serves all the same, and tries again."""
        while True:
            try:
                await sock.bind(self._at)
                return
            except OSError as error:
                log_rate_limited("gossip_bind_failed", at=f"{self._at[0]}:{self._at[1]}", error=str(error))
                await trio.sleep(BIND_AGAIN_S)

    def _heard(self, data: bytes, sender: Address) -> None:
        number = self._numbers.get(sender)
        if sender == self._at:
            return  # our own, by way of everyone
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            reason = "no peer of this tier" if number is None else "too long"
            log_rate_limited("gossip_datagram_rejected", sender=f"{sender[0]}:{sender[1]}", reason=reason)
        elif not self.deaf() and not (self.duties is not None and self.duties(number, data)):
            self._core.gossip_received(GossipReceived(number, data))

    def tell(self, payload: bytes) -> None:
        """Now or not at all: a datagram that can't leave is as good as one that is lost on its way.

        But for the first words: that this dispatcher is new is said before its socket is bound.
        """
        if self._raw is None:
            self._unsaid = [*self._unsaid, payload][:MOST_UNSAID]
            return
        for peer in self._to:
            self._send(payload, peer)

    def send(self, number: int, payload: bytes) -> None:
        """To one of them, now or not at all."""
        self._send(payload, self._all[number])

    def _send(self, payload: bytes, peer: Address) -> None:
        if self._raw is not None:
            with contextlib.suppress(OSError):
                self._raw.sendto(payload, peer)
