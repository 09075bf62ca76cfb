"""The clients' listener, where whoever starts this process has bound it already."""

from __future__ import annotations

import socket

from violetstack.config import Address, BadConfig

ANY = ("0.0.0.0", "::")


def inherited_socket(descriptor: int, at: Address) -> socket.socket:
    """Raises BadConfig. Its end here is to be a close, never a shutdown: others still accept on it."""
    name = f"NODE_INHERITED_FD={descriptor}"
    try:
        raw = socket.socket(fileno=descriptor)
    except OSError as error:
        raise BadConfig(f"{name}: {error}") from None
    try:
        tcp = raw.family in (socket.AF_INET, socket.AF_INET6) and raw.type == socket.SOCK_STREAM
        if not tcp or not raw.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            raise BadConfig(f"{name}: it is no listening TCP socket")
        host, port = raw.getsockname()[:2]
        if port != at[1] or host not in (at[0], *ANY):
            raise BadConfig(f"{name}: it listens on {host}:{port}, and `listen` is {at[0]}:{at[1]}")
        raw.set_inheritable(False)
    except BadConfig:
        raw.detach()
        raise
    return raw
