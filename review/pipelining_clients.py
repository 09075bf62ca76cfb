"""Clients that send many requests at once.

python pipelining_clients.py HOST:PORT CLIENTS REQUESTS SPREAD_S STAY_S DEADLINE_MS

The clients connect one after another within SPREAD_S. Each sends all of its requests at once, and reads what
is answered until STAY_S is over.
"""

from __future__ import annotations

import selectors
import socket
import sys
import time

from standins import request_bytes

WAIT_S = 0.02


class PipeliningClients:
    """The clients, in one loop of this process of their own."""

    def __init__(self, address: str) -> None:
        host, _, port = address.partition(":")
        self.address = (host, int(port))
        self.opened = 0
        self.answers = 0
        self.ended = 0
        self._selector = selectors.DefaultSelector()
        self._unsent: dict[socket.socket, memoryview] = {}

    def connect(self, requests: int, deadline_ms: int) -> None:
        """Connects one client and begins to send its requests."""
        names = (f"p{self.opened}-{n}" for n in range(requests))
        data = b"".join(request_bytes(name, "ask", deadline_ms) for name in names)
        sock = socket.create_connection(self.address)
        sock.setblocking(False)
        self._unsent[sock] = memoryview(data)
        self._selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE)
        self.opened += 1

    def turn(self) -> None:
        """Sends and reads what is possible now."""
        if not self._selector.get_map():
            time.sleep(WAIT_S)
            return
        for key, events in self._selector.select(WAIT_S):
            sock = key.fileobj
            assert isinstance(sock, socket.socket)
            try:
                self._exchange(sock, events)
            except BlockingIOError:
                continue
            except OSError:
                self._selector.unregister(sock)
                sock.close()
                self.ended += 1

    def _exchange(self, sock: socket.socket, events: int) -> None:
        if events & selectors.EVENT_WRITE:
            self._unsent[sock] = self._unsent[sock][sock.send(self._unsent[sock]) :]
            if not self._unsent[sock]:
                self._selector.modify(sock, selectors.EVENT_READ)
        if events & selectors.EVENT_READ:
            received = sock.recv(65536)
            self.answers += received.count(b"HTTP/1.1 ")
            if not received:
                raise ConnectionResetError


def main(arguments: list[str]) -> None:
    """Runs the clients and prints how many answers came."""
    address = arguments[0]
    clients, requests, deadline_ms = (int(arguments[n]) for n in (1, 2, 5))
    spread_s, stay_s = (float(arguments[n]) for n in (3, 4))
    group = PipeliningClients(address)
    began = time.monotonic()
    while (now := time.monotonic() - began) < stay_s:
        if group.opened < clients and now >= spread_s * group.opened / clients:
            try:
                group.connect(requests, deadline_ms)
            except OSError:
                break
        group.turn()
    print(
        f"{group.opened} clients sent {requests} requests each at once; {group.answers} answers came, "
        f"{group.ended} connections were ended"
    )


if __name__ == "__main__":
    main(sys.argv[1:])
