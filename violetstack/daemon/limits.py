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
        self,
        config: Config,
        upstream_driver: UpstreamDriver,
        listeners: list[Listener],
        process_count: Callable[[], int],
    ) -> None:
        """Counts the listeners that the configuration opens; they share the clients' part of the limits."""
        acme = config.chat.operator.acme if config.chat is not None else None
        self._config = config
        self._upstream_driver = upstream_driver
        self._listeners = listeners
        self._process_count = process_count
        self._front_count = sum(front is not None for front in (config.listen, config.chat, acme)) or 1

    def apply(self) -> None:
        """Sets the limits in force: after a reload, a new listener, or another process that came or went."""
        limits = self._config.limits
        process_count = self._process_count()
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # of each process, whatever is configured
        share = divide_limits(
            min(int(limits.sockets), allowed * process_count),
            limits.memory_mb,
            fronts=self._front_count,
            admin_api=self._config.admin_listen is not None,
            processes=process_count,
        )
        self._upstream_driver.pool.max_connections = share.upstream
        for listener in self._listeners:
            listener.table.max_connections = share.clients
            listener.table.max_over_limit = share.refused
            listener.table.max_buffered_bytes = share.body_bytes
