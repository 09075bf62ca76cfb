"""Starts the listeners for clients: the platform front, and the chat front with certificate and store."""

from __future__ import annotations

import errno
import uuid
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

import trio

from violetstack.config import Address, Config, ConfigError, parse_address
from violetstack.core.dispatcher import Dispatcher
from violetstack.daemon.background_task import start_background_task
from violetstack.fronts.platform import PlatformFront
from violetstack.fronts.reply import Front
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.downstream.listener import Listener, TlsHandshake
from violetstack.net.tls import Certificate
from violetstack.net.transient_errors import is_readable
from violetstack.operator_config import AcmeConfig, ChatFrontConfig
from violetstack.protocol.headers import RequestReader

if TYPE_CHECKING:
    from violetstack.fronts.chat import ChatFront
    from violetstack.idempotency.service import IdempotencyService

RESOURCE_EXHAUSTION_ERRORS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
STARTUP_RETRY_TIMEOUT_S = 20.0  # below the 30 s after which a process that is not ready counts as failed
STARTUP_RETRY_INTERVAL_S = 0.05
BACKLOG = 512


class FrontServers:
    """Opens the listeners that are configured.

    Attributes:
        listeners: The daemon's list, which load shedding and the limits read; new listeners are appended.
        listening_sockets: The listening sockets of all listeners; empty after `stop_accepting`.
        platform: The listener of the platform front.
        chat: The chat front.
        idempotency: The service that stores idempotency records, if configured.
        certificate: A certificate that is read from files and reloaded; None with ACME.
        challenge_address: Where the ACME challenge listener is bound.
    """

    def __init__(
        self,
        config: Config,
        core: Dispatcher,
        nursery: trio.Nursery,
        listeners: list[Listener],
        apply_limits: Callable[[], None],
    ) -> None:
        """Opens no listener; `apply_limits` is called whenever one has been opened."""
        self._config = config
        self._core = core
        self._nursery = nursery
        self._apply_limits = apply_limits
        self.listeners = listeners
        self.listening_sockets: list[trio.SocketListener] = []
        self.platform: Listener | None = None
        self.chat: ChatFront | None = None
        self.idempotency: IdempotencyService | None = None
        self.certificate: Certificate | None = None
        self.challenge_address: Address | None = None

    async def start_platform(self, address: Address) -> Address:
        """Starts the platform front and returns the bound address.

        Raises:
            ConfigError: The address cannot be bound.
        """
        front = PlatformFront(
            self._core, RequestReader(self._config.settings_message), now_ms, log_rate_limited
        )
        bound = await self._listen(address, front)
        self.platform = self.listeners[-1]
        return bound

    async def start_chat(self, chat: ChatFrontConfig) -> Address:
        """Starts the chat front with idempotency store and certificate, and returns the bound address.

        Raises:
            ConfigError: The address cannot be bound.
            OSError: The certificate cannot be read.
        """
        from violetstack.fronts.chat import ChatFront

        operator = chat.operator
        self.idempotency = self._open_idempotency_store(chat)
        self.chat = ChatFront(
            chat, self._core, self.idempotency, clock=now_ms, spawn=self._spawn, log=log_rate_limited
        )
        tls_handshake = None
        if operator.tls is not None:
            certificate = Certificate(operator.tls)
            if operator.acme is not None:
                await self._start_acme(operator.acme, certificate)
            else:
                certificate.load()
                self.certificate = certificate
            tls_handshake = certificate.wrap
        return await self._listen(parse_address(operator.listen), self.chat, tls_handshake)

    def stop_accepting(self) -> None:
        """Closes the listening sockets; open connections are unaffected."""
        for listener in self.listening_sockets:
            listener.socket.close()
        self.listening_sockets.clear()

    def connections_queued(self) -> bool:
        """Returns whether a connection waits in the accept queue of a listening socket."""
        return any(is_readable(listener.socket, if_unknown=True) for listener in self.listening_sockets)

    def record_closed_queues(self) -> None:
        """Records that the listening sockets will be closed while connections wait in their accept queues."""
        for listener in self.listeners:
            listener.closes.record_queue_closed(str(self._config.listen))

    @property
    def busy(self) -> bool:
        """Whether requests can still arrive, or responses or idempotency records are unfinished."""
        responses_pending = self.chat is not None and self.chat.pending
        records_pending = self.idempotency is not None and self.idempotency.pending_calls
        tables = [listener.table for listener in self.listeners]
        connections_open = any(table.busy or table.awaiting_requests or table.idle for table in tables)
        return bool(responses_pending or records_pending or connections_open)

    async def _listen(
        self, address: Address, front: Front, tls_handshake: TlsHandshake | None = None
    ) -> Address:
        listener = Listener(self._core, front)
        inherited = self._config.inherited_listener if address == self._config.listen else None
        if inherited is None:
            sockets = await listen_on(address, "listen")
        else:
            sockets = [trio.SocketListener(trio.socket.from_stdlib_socket(inherited))]
        self.listeners.append(listener)
        self._apply_limits()
        self.listening_sockets.extend(sockets)
        self._nursery.start_soon(listener.run, sockets, tls_handshake)
        bound = sockets[0].socket.getsockname()
        return bound[0], bound[1]

    def _open_idempotency_store(self, chat: ChatFrontConfig) -> IdempotencyService | None:
        store_config = chat.operator.ledger
        if store_config is None:
            return None
        from violetstack.idempotency.service import IdempotencyService
        from violetstack.idempotency.store import IdempotencyStore

        owner = f"{self._config.node.name}/{uuid.uuid4().hex}"  # each process is a different owner
        store = IdempotencyStore(
            store_config.file, owner, store_config.keep_hours * 3600.0, store_config.lease_s
        )
        service = IdempotencyService(store, store_config.lease_s)
        start_background_task(self._nursery, service.run)
        return service

    async def _start_acme(self, acme_config: AcmeConfig, certificate: Certificate) -> None:
        from violetstack.net import acme

        front = acme.ChallengeFront()
        self.challenge_address = await self._listen(parse_address(acme_config.challenge_listen), front)
        issue = acme.AcmeClient(acme_config, front).issue
        start_background_task(self._nursery, acme.renew_certificate, acme_config, certificate, issue)

    def _spawn(self, function: Callable[[], Awaitable[None]]) -> None:
        self._nursery.start_soon(_run_guarded, function)


async def _run_guarded(function: Callable[[], Awaitable[None]]) -> None:
    try:
        await function()
    except Exception as error:  # one failed request must not cancel the nursery
        log("request_failed", error=repr(error))


async def listen_on(address: Address, key: str) -> list[trio.SocketListener]:
    """Listens on the address that is configured under `key`.

    If the system temporarily lacks descriptors or memory, retries for up to `STARTUP_RETRY_TIMEOUT_S`.

    Raises:
        ConfigError: The address cannot be bound.
    """
    give_up_at = trio.current_time() + STARTUP_RETRY_TIMEOUT_S
    while True:
        try:
            return list(await trio.open_tcp_listeners(address[1], host=address[0], backlog=BACKLOG))
        except OSError as error:
            if error.errno not in RESOURCE_EXHAUSTION_ERRORS or trio.current_time() >= give_up_at:
                raise ConfigError(f"{key}: {address[0]}:{address[1]}: {error}") from None
            log(
                "listen_failed",
                at=f"{address[0]}:{address[1]}",
                error=str(error),
                retry_in_s=STARTUP_RETRY_INTERVAL_S,
            )
        await trio.sleep(STARTUP_RETRY_INTERVAL_S)
