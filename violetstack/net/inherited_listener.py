"""Opens the client listener that a process inherits from its parent (``NODE_INHERITED_FD``)."""

from __future__ import annotations

import socket

from violetstack.config import Address, ConfigError

WILDCARD_ADDRESSES = ("0.0.0.0", "::")


def open_inherited_listener(descriptor: int, expected: Address) -> socket.socket:
    """Returns the listening TCP socket that this process inherited.

    Other processes accept on the same socket, so it may be closed but must not be shut down.

    Args:
        descriptor: Number of the inherited file descriptor.
        expected: The address in `listen`; a wildcard address with the same port is also accepted.

    Raises:
        ConfigError: The descriptor is not a listening TCP socket, or listens on another address.
    """
    setting = f"NODE_INHERITED_FD={descriptor}"
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as error:
        raise ConfigError(f"{setting}: {error}") from None
    try:
        _check_listener(listener, expected, setting)
        listener.set_inheritable(False)
    except ConfigError:
        listener.detach()  # leaves the descriptor open
        raise
    return listener


def _check_listener(listener: socket.socket, expected: Address, setting: str) -> None:
    """Raises ConfigError."""
    is_tcp = listener.family in (socket.AF_INET, socket.AF_INET6) and listener.type == socket.SOCK_STREAM
    if not is_tcp or not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"{setting}: it is no listening TCP socket")
    host, port = listener.getsockname()[:2]
    if port != expected[1] or host not in (expected[0], *WILDCARD_ADDRESSES):
        raise ConfigError(
            f"{setting}: it listens on {host}:{port}, but `listen` is {expected[0]}:{expected[1]}"
        )
