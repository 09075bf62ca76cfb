"""Applies the configured resource limits to the listeners and the upstream connection pool."""

from __future__ import annotations

import resource
from collections.abc import Callable

from violetstack.config import Config
from violetstack.net.downstream.listener import Listener
from violetstack.net.resource_limits import divide_limits
from violetstack.net.upstream.driver import UpstreamDriver


class LimitAllocator:
    """Divides the configured limits between processes, upstream connections and listeners."""

    def __init__(
        self,
        config: Config,
        upstream_driver: UpstreamDriver,
        listeners: list[Listener],
        process_count: Callable[[], int],
    ) -> None:
        """Counts the configured listeners, which divide the share of the clients between them."""
        acme = config.chat.operator.acme if config.chat is not None else None
        self._config = config
        self._upstream_driver = upstream_driver
        self._listeners = listeners
        self._process_count = process_count
        self._front_count = sum(front is not None for front in (config.listen, config.chat, acme)) or 1

    def apply(self) -> None:
        """Recomputes and sets the limits.

        Called after a reload, for each new listener, and when another process of this dispatcher has started
        or ended.
        """
        limits = self._config.limits
        process_count = self._process_count()
        allowed = resource.getrlimit(resource.RLIMIT_NOFILE)[0]  # the system's limit per process
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
