"""Datagrams from the other dispatchers of the tier, told to the core."""

from __future__ import annotations

import trio

from violetstack import interface as t
from violetstack.config import Address
from violetstack.core.dispatcher import Dispatcher

MAX_DATAGRAM = 256


async def listen_to_peers(core: Dispatcher, at: Address, peers: list[Address]) -> None:
    """The sender's address tells its number; whoever is not among the peers is not heard."""
    numbers = {peer: n for n, peer in enumerate(peers)}
    with trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
        await sock.bind(at)
        while True:
            try:
                data, sender = await sock.recvfrom(MAX_DATAGRAM + 1)
            except OSError:
                continue  # a peer that is down shows here as refused; the next one may be heard
            number = numbers.get(sender)
            if number is not None and len(data) <= MAX_DATAGRAM:
                core.peer(t.PeerMessage(number, data))
