"""Runs attempts: sends one request to one model host and forwards its response."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable

import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt
from violetstack.fronts.reply import Payload
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.upstream.connection import (
    LocalFaultError,
    NotConnectedError,
    SendTimeoutError,
    SendWithheldError,
    UpstreamConnection,
)
from violetstack.net.upstream.connection_pool import ConnectionPool, UpstreamHost
from violetstack.net.upstream.response_errors import BrokenReason, broken_reason
from violetstack.net.upstream.response_reader import AttemptResult, MigrateStream, ResponseReader
from violetstack.net.upstream.state_release import StateReleaser
from violetstack.net.upstream.stream_progress import StreamPosition
from violetstack.policy_api import AttemptStatus
from violetstack.protocol import sse
from violetstack.protocol.host_keys import HOST_KEY_HEADER
from violetstack.protocol.http_client import HttpClientConnection, InvalidResponseError
from violetstack.protocol.http_server import Headers

WaitWritable = Callable[[], Awaitable[None]]

SEND_TIMEOUT_S = 0.12
"""Limit for sending a request, from its first byte to its last.

The head states the client's remaining time, but the host starts only once it has the last byte. The stated
time may exceed the actual remaining time by at most 0.15 s.
"""


class _RunningAttempt:
    """The state of one attempt while it runs."""

    def __init__(self) -> None:
        self.scope = trio.CancelScope()
        self.request_sent_or_ended = trio.Event()
        """Set once the request is written or the attempt has ended."""
        self.receive_scope: trio.CancelScope | None = None
        self.connection: UpstreamConnection | None = None
        self.reader: ResponseReader | None = None


class AttemptRunner:
    """Runs each attempt in its own task and reports its progress to the core."""

    def __init__(
        self,
        nursery: trio.Nursery,
        core: Dispatcher,
        pool: ConnectionPool,
        releases: StateReleaser,
        report_fields: tuple[str, ...],
    ) -> None:
        self._nursery = nursery
        self._core = core
        self._pool = pool
        self._releases = releases
        self._report_fields = report_fields
        self._migrate_stream: MigrateStream | None = None
        self._running: dict[Attempt, _RunningAttempt] = {}

    def __len__(self) -> int:
        return len(self._running)

    def start(self, attempt: Attempt) -> None:
        """Connects, writes the request and reads the response; notifies the core of each step."""

        async def exchange(running: _RunningAttempt) -> AttemptResult:
            return await self._exchange(attempt, running)

        self._start_task(attempt, exchange)

    def adopt(
        self, attempt: Attempt, raw: socket.socket, position: StreamPosition, wait_writable: WaitWritable
    ) -> None:
        """Continues a stream that another process began, on the connection that it used."""
        connection = self._pool.adopt(raw, attempt.server)
        connection.http = HttpClientConnection.resumed()
        attempt.request.payload = Payload("POST", "", "", memoryview(b""), wait_writable)

        async def resume_reading(running: _RunningAttempt) -> AttemptResult:
            reader = self._reader(attempt, running, connection, openai_api=False)
            return await self._read_response(running, connection, lambda: reader.resume(position))

        self._start_task(attempt, resume_reading)

    def migrate_streams(self, migrate_stream: MigrateStream) -> None:
        """From now on hands each stream over to another process, at once or after its next event."""
        self._migrate_stream = migrate_stream
        for attempt, running in self._running.items():
            if attempt.stream_started and running.receive_scope is not None:
                running.receive_scope.cancel()

    def abort(self, attempt: Attempt) -> None:
        """Closes the attempt's connection before it returns.

        Cancelling alone would close it only when the attempt's task next runs. By then the client may have
        read its final answer while the host still held the attempt.
        """
        if (running := self._running.get(attempt)) is None:
            return
        if attempt.stream_started:
            _log_response("upstream_stream_abandoned", attempt, running.reader)
        if running.connection is not None:
            running.connection.abort()
        running.scope.cancel()

    def is_fully_sent(self, attempt: Attempt) -> bool:
        """Whether the attempt's last byte has left this machine; True if that is unknown."""
        connection = self.connection_of(attempt)
        return connection is None or not connection.unsent_bytes()

    def is_acknowledged(self, attempt: Attempt) -> bool:
        """Whether the host has acknowledged every byte of the attempt; True if that is unknown."""
        connection = self.connection_of(attempt)
        return connection is None or not connection.unacknowledged_bytes()

    def request_sent_waiter(self, attempt: Attempt) -> Callable[[], Awaitable[None]] | None:
        """A function that waits until the attempt's request is written or the attempt has ended.

        None if the attempt has already ended.
        """
        running = self._running.get(attempt)
        return running.request_sent_or_ended.wait if running is not None else None

    def connection_of(self, attempt: Attempt) -> UpstreamConnection | None:
        """The connection that the attempt currently uses; None if there is none."""
        running = self._running.get(attempt)
        return running.connection if running is not None else None

    def has_unread_input(self) -> bool:
        """Whether any attempt's socket holds response bytes that were not read."""
        connections = (running.connection for running in self._running.values())
        return any(c.has_input() for c in connections if c is not None and not c.closed)

    # --- the task of an attempt ---

    def _start_task(
        self, attempt: Attempt, exchange: Callable[[_RunningAttempt], Awaitable[AttemptResult]]
    ) -> None:
        running = self._running[attempt] = _RunningAttempt()
        self._nursery.start_soon(self._run, attempt, running, exchange)

    async def _run(
        self,
        attempt: Attempt,
        running: _RunningAttempt,
        exchange: Callable[[_RunningAttempt], Awaitable[AttemptResult]],
    ) -> None:
        result: AttemptResult | None = None
        with running.scope:
            result = await self._handle_errors(attempt, running, exchange)
        del self._running[attempt]
        running.reader = None  # it refers back, and the cycle would keep the request in memory
        running.request_sent_or_ended.set()
        if result is not None:
            self._report(attempt, result)

    def _report(self, attempt: Attempt, result: AttemptResult) -> None:
        """Reports the result to the core; an exception raised there must not end the process."""
        try:
            self._core.attempt_finished(now_ms(), attempt, result.status, result.detail, result.load_report)
        except Exception as error:
            log("attempt_failed", id=attempt.request.id, error=repr(error))

    async def _handle_errors(
        self,
        attempt: Attempt,
        running: _RunningAttempt,
        exchange: Callable[[_RunningAttempt], Awaitable[AttemptResult]],
    ) -> AttemptResult:
        """Returns the exchange's result, or the one for its exception: no attempt may end the process."""
        try:
            return await exchange(running)
        except SendWithheldError:
            return AttemptResult(AttemptStatus.ALREADY_FINISHED)
        except LocalFaultError as error:
            log_rate_limited("local_fault", id=attempt.request.id, server=attempt.server, error=str(error))
            return AttemptResult(AttemptStatus.LOCAL_FAULT)
        except (NotConnectedError, SendTimeoutError):
            return AttemptResult(AttemptStatus.CONNECT_FAILED)
        except (InvalidResponseError, sse.InvalidEventError) as error:
            _record_broken(attempt, running, broken_reason(error), str(error))
        except (OSError, trio.TooSlowError, trio.ClosedResourceError) as error:
            _record_broken(attempt, running, BrokenReason.CONNECTION_BROKEN, repr(error))
        except Exception as error:
            log("attempt_failed", id=attempt.request.id, error=repr(error))
        may_have_run = attempt.request_written
        return AttemptResult(AttemptStatus.RESET if may_have_run else AttemptStatus.CONNECT_FAILED)

    async def _exchange(self, attempt: Attempt, running: _RunningAttempt) -> AttemptResult:
        connection = await self._pool.acquire(
            attempt.server,
            still_wanted=lambda: self._core.may_send(now_ms(), attempt),
            prerequisite=lambda: self._releases.wait_for(attempt.request),
            timeout_s=self._core.connect_timeout_ms(now_ms(), attempt) / 1000.0,
        )
        if connection is None:
            return AttemptResult(AttemptStatus.ALREADY_FINISHED)
        self._core.request_started(now_ms(), attempt)
        host = self._pool.hosts[attempt.server]
        reader = self._reader(attempt, running, connection, host.openai_api)

        async def send_and_read() -> AttemptResult:
            await self._send(attempt, running, connection, host)
            return await reader.read()

        return await self._read_response(running, connection, send_and_read)

    async def _send(
        self, attempt: Attempt, running: _RunningAttempt, connection: UpstreamConnection, host: UpstreamHost
    ) -> None:
        payload: Payload = attempt.request.payload
        headers = _headers(attempt, payload, host)
        parts = connection.http.request(payload.method, payload.target, headers, payload.body)

        def on_written() -> None:
            self._core.request_written(now_ms(), attempt)
            running.request_sent_or_ended.set()

        def may_continue() -> bool:
            return self._core.may_continue_sending(now_ms(), attempt)

        await connection.write(parts, on_written, may_continue, SEND_TIMEOUT_S)

    async def _read_response(
        self,
        running: _RunningAttempt,
        connection: UpstreamConnection,
        read: Callable[[], Awaitable[AttemptResult]],
    ) -> AttemptResult:
        """Runs `read`, and returns the connection to the pool only after a complete response."""
        complete = False
        running.connection = connection
        try:
            result = await read()
            complete = result.status is not AttemptStatus.CANCELLED
            return result
        finally:
            running.connection = None
            if complete:
                self._pool.put_back(connection)
            else:
                self._pool.close(connection)

    def _reader(
        self, attempt: Attempt, running: _RunningAttempt, connection: UpstreamConnection, openai_api: bool
    ) -> ResponseReader:
        def set_receive_scope(scope: trio.CancelScope) -> None:
            running.receive_scope = scope

        running.reader = ResponseReader(
            self._core,
            attempt,
            connection,
            report_fields=self._report_fields,
            openai_api=openai_api,
            current_migration=lambda: self._migrate_stream,
            set_receive_scope=set_receive_scope,
        )
        return running.reader


def _record_broken(attempt: Attempt, running: _RunningAttempt, reason: BrokenReason, detail: str) -> None:
    """Keeps for the request's log line why the response is not complete; logs it if any of it was read.

    A connection that breaks before the response is left to that line: its attempt is retried if possible.
    """
    if attempt.finished:
        return  # this process has ended it
    attempt.broken_reason = reason.value
    reader = running.reader
    if reader is None or (reason is BrokenReason.CONNECTION_BROKEN and not attempt.stream_started):
        return
    _log_response("upstream_response_truncated", attempt, reader, kind=reason.value, reason=detail)


def _log_response(event: str, attempt: Attempt, reader: ResponseReader | None, **fields: str) -> None:
    """Logs how far the response has come that an attempt ends without."""
    if reader is None:
        return
    log_rate_limited(
        event,
        id=attempt.request.id,
        server=attempt.server,
        events=attempt.events_forwarded,
        done=reader.done,
        idle_ms=round(reader.idle_ms),
        position=reader.describe_position(),
        **fields,
    )


def _headers(attempt: Attempt, payload: Payload, host: UpstreamHost) -> Headers:
    request = attempt.request
    if host.openai_api:
        name, port = host.address
        headers = [("Host", f"{name}:{port}"), ("Content-Type", "application/json")]
        if host.api_key:
            headers.append(("Authorization", f"Bearer {host.api_key}"))
        if request.host_key:
            headers.append((HOST_KEY_HEADER, request.host_key))
        return [*headers, ("Req-Id", request.id)]
    wait_ms = max(1, int(attempt.deadline - now_ms()))
    return [
        ("Host", "app.svc"),
        ("Req-Id", request.id),
        ("Req-Deadline", f"{wait_ms}m"),
        ("Content-Type", payload.content_type),
        *payload.headers,
    ]
