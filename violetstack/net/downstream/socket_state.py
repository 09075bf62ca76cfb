"""The state of a client's socket, determined without reading from it."""

from __future__ import annotations

import select

import trio
from trio.lowlevel import wait_readable

from violetstack.net.transient_errors import is_readable

PEER_END_POLL_S = 0.02
"""Interval of checks for the peer's close while unread bytes keep the socket readable."""


def tcp_stream(stream: trio.abc.Stream) -> trio.SocketStream | None:
    """The TCP stream, also that below TLS; None for streams without a socket."""
    transport = stream.transport_stream if isinstance(stream, trio.SSLStream) else stream
    return transport if isinstance(transport, trio.SocketStream) else None


def peer_has_closed(stream: trio.abc.Stream) -> bool:
    """Whether the peer has closed the open stream or its sending side, even behind unread bytes.

    Reading shows the close only after all bytes before it: a request and the close behind it may both have
    waited in the kernel's queue while the listener had no room or this process was busy.
    """
    transport = tcp_stream(stream)
    if transport is None:
        return False
    poll = select.poll()
    poll.register(transport.socket, select.POLLRDHUP)
    try:
        return bool(poll.poll(0))
    except OSError:  # no memory for the call: the peer is assumed connected, and checked again later
        return False


def has_unread(stream: trio.abc.Stream) -> bool:
    """Whether unread bytes or the peer's close wait in the socket of the open stream."""
    transport = tcp_stream(stream)
    return transport is not None and is_readable(transport.socket, if_unknown=True)


async def wait_for_peer_end(stream: trio.abc.Stream) -> None:
    """Returns once the peer has closed the stream; its input is left unread in the socket."""
    transport = tcp_stream(stream)
    while transport is not None and not peer_has_closed(transport):
        if is_readable(transport.socket, if_unknown=True):
            await trio.sleep(PEER_END_POLL_S)
        else:
            await wait_readable(transport.socket)
