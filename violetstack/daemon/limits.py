"""Applies the machine's limits to the listeners and the upstream connection pool."""

from __future__ import annotations

import resource
from collections.abc import Callable

from violetstack.config import Config
from violetstack.net.downstream.listener import Listener
from violetstack.net.resource_limits import divide_limits
from violetstack.net.upstream.driver import UpstreamDriver


class LimitAllocator:
    """Divides the limits of the configuration between listeners, upstream connections and processes."""

    def __init__(
        self, config: Config, hosts: UpstreamDriver, listeners: list[Listener], processes: Callable[[], int]
    ) -> None:
        """Counts the listeners that the configuration opens; they share the clients' part of the limits."""
        acme = config.chat.operator.acme if config.chat is not None else None
        self._config = config
        self._hosts = hosts
        self._listeners = listeners
        self._processes = processes
        self._fronts = sum(front is not None for front in (config.listen, config.chat, acme)) or 1

    def apply(self) -> None:
        """Sets the limits in force: after a reload, a new listener, or another process that came or went."""
        limits = self._config.limits
        processes = self._processes()
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # of each process, whatever is configured
        share = divide_limits(
            min(int(limits.sockets), allowed * processes),
            limits.memory_mb,
            fronts=self._fronts,
            admin_api=self._config.admin_listen is not None,
            processes=processes,
        )
        self._hosts.pool.max_connections = share.upstream
        for listener in self._listeners:
            listener.table.max_connections = share.clients
            listener.table.max_over_limit = share.refused
            listener.table.max_buffered_bytes = share.body_bytes
