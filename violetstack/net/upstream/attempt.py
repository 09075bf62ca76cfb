"""Model hosts: the connections to them, and the core's attempts, places, releases and probes on these."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import msgspec
import trio

from violetstack.core.dispatcher import Dispatcher
from violetstack.core.records import Attempt, OpenRequest, PlaceCall, ReleaseCall
from violetstack.fronts.reply import Payload
from violetstack.log import log, log_rate_limited
from violetstack.net.clock import now_ms
from violetstack.net.upstream.connection_pool import HostConnection, NotUp, Pool, Withheld
from violetstack.policy_api import AttemptStatus, HealthCheckResult
from violetstack.protocol import sse
from violetstack.protocol.headers import report_of
from violetstack.protocol.host_side import Body, Broken, End, Head, HostSide
from violetstack.protocol.server_side import Headers

STALL_S = 30.0  # an answer that has not begun: the attempt's own time ends long before
QUIET_S = 4.3  # between two events; the rules let no client wait for 5 s on a stream that has stopped
PARTIAL_S = 1.5  # the rest of a head, a first event or a chunk comes together with its beginning, or never
UNUSABLE = frozenset({400, 404, 405, 411, 413, 414, 415, 422, 431})  # the request itself is at fault
PASS_AGAIN_S = 0.1  # a stream that could not pass on now may, a little later
CALL_S = 0.6  # a place, release or probe is answered by then
RELEASE_TRY_S = 0.3
RELEASE_MOST_S = 5.0
RELEASE_NEXT_S = 0.1  # without an answer from one host, another is asked for the release beside it
RELEASE_FIRST_S = 0.1  # a further send waits so long for a release of what the one before has left
MAX_ANSWER = 64 * 1024  # of an answer that is no stream
Report = tuple[float | None, ...] | None
Room = Callable[[], Awaitable[None]]
PassOn = Callable[["Attempt", "HostConnection", int], Awaitable[bool]]


class Ended(NamedTuple):
    status: AttemptStatus
    note: int = 0
    report: Report = None


class _Details(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens_details: _Details | None = None


class _LastEvent(msgspec.Struct):
    usage: _Usage | None = None


class _ErrorEvent(msgspec.Struct):
    error: Any = None


class Hosts(Pool):
    """The core's driver."""

    def __init__(
        self,
        nursery: trio.Nursery,
        connect_timeout_ms: float,
        idle_close_ms: float,
        report_names: tuple[str, ...],
    ) -> None:
        super().__init__(connect_timeout_ms, idle_close_ms)
        self.core: Dispatcher
        self.nursery = nursery
        self.report_names = report_names
        self.send_gossip: Callable[[bytes], None] = lambda payload: None  # until there are peers
        self.pass_on: PassOn | None = None  # an heir, for streams that have begun
        self._waits: dict[Attempt, trio.CancelScope] = {}  # for the next bytes of its answer
        self._scopes: dict[Attempt, trio.CancelScope] = {}
        self._using: dict[Attempt, HostConnection] = {}
        self._sent: dict[Attempt, trio.Event] = {}  # set once written, or over
        self._releases: dict[ReleaseCall, trio.Event] = {}  # set once through, or over

    def log(self, event: str, **fields: Any) -> None:
        """Guards the log: what the module says of others' datagrams, they can cause at will."""
        (log_rate_limited if event == "policy" else log)(event, **fields)

    def pending(self) -> bool:
        return any(c.dead() for c in self._using.values() if not c.closed)

    # --- attempts ---

    def start_attempt(self, attempt: Attempt) -> None:
        scope = self._scopes[attempt] = trio.CancelScope()
        self._sent[attempt] = trio.Event()
        self.nursery.start_soon(self._attempt, attempt, scope, self._exchange)

    def adopt(self, attempt: Attempt, raw: socket.socket, cached: int, room: Room) -> None:
        """A stream that another process began, on its connection."""
        connection = HostConnection(raw, attempt.server)
        connection.http = HostSide.resumed()
        self.connections += 1
        attempt.request.payload = Payload("POST", "", "", memoryview(b""), room)
        scope = self._scopes[attempt] = trio.CancelScope()
        self._sent[attempt] = trio.Event()

        async def go_on(attempt: Attempt) -> Ended:
            return await self._on(attempt, connection, cached)

        self.nursery.start_soon(self._attempt, attempt, scope, go_on)

    async def _on(self, attempt: Attempt, connection: HostConnection, cached: int) -> Ended:
        clean = False
        try:
            self._using[attempt] = connection
            ended = await self._answer(attempt, connection, False, Head(200, {}), cached)
            clean = ended.status is not AttemptStatus.CANCELLED
            return ended
        finally:
            self._using.pop(attempt, None)
            if clean:
                self._put_back(connection)
            else:
                self._close(connection)

    def pass_all(self, pass_on: PassOn) -> None:
        """Streams go to an heir from now on, each at once or after its next event."""
        self.pass_on = pass_on
        for attempt, wait in self._waits.items():
            if attempt.stream_started:
                wait.cancel()

    def abort_attempt(self, attempt: Attempt) -> None:
        """Guards against a final answer that overtakes the attempt's end: the connection closes here and now.

        Cancelling alone closes it only when the attempt's task runs again; by then the client may have
        read a refusal while the host still held the attempt.
        """
        if (connection := self._using.pop(attempt, None)) is not None:
            connection.close()
        if (scope := self._scopes.get(attempt)) is not None:
            scope.cancel()

    async def _attempt(
        self, attempt: Attempt, scope: trio.CancelScope, exchange: Callable[[Attempt], Awaitable[Ended]]
    ) -> None:
        ended: Ended | None = None
        with scope:
            try:
                ended = await exchange(attempt)
            except (NotUp, Withheld):
                ended = Ended(AttemptStatus.CONNECT_FAILED)
            except (Broken, sse.NoEvent) as error:
                request = attempt.request.id
                told = {"events": attempt.events_forwarded, "reason": str(error)}
                log_rate_limited("upstream_response_truncated", id=request, server=attempt.server, **told)
                ended = Ended(
                    AttemptStatus.RESET if attempt.request_written else AttemptStatus.CONNECT_FAILED
                )
            except (OSError, trio.TooSlowError, trio.ClosedResourceError):
                ended = Ended(
                    AttemptStatus.RESET if attempt.request_written else AttemptStatus.CONNECT_FAILED
                )
            except Exception as error:  # no attempt's failure ends the nursery
                log("attempt_failed", id=attempt.request.id, error=repr(error))
                ended = Ended(
                    AttemptStatus.RESET if attempt.request_written else AttemptStatus.CONNECT_FAILED
                )
        self._scopes.pop(attempt, None)
        self._waits.pop(attempt, None)
        self._sent.pop(attempt).set()
        if ended is not None:
            self.core.attempt_finished(now_ms(), attempt, ended.status, ended.note, ended.report)

    async def _exchange(self, attempt: Attempt) -> Ended:
        payload: Payload = attempt.request.payload
        connection = await self._ready(
            attempt.server,
            lambda: self.core.may_send(now_ms(), attempt),
            lambda: self._let_go(attempt.request),
            self.core.connect_timeout_ms(now_ms(), attempt) / 1000.0,
        )
        if connection is None:
            return Ended(AttemptStatus.ALREADY_FINISHED)
        self.core.request_started(attempt)
        clean = False
        try:
            wait = max(1, int(attempt.deadline - now_ms()))
            host = self.hosts[attempt.server]
            headers: Headers = [
                ("Host", "app.svc"),
                ("Req-Id", attempt.request.id),
                ("Req-Deadline", f"{wait}m"),
                ("Content-Type", payload.content_type),
            ]
            if host.plain:
                headers = [("Host", f"{host.at[0]}:{host.at[1]}"), ("Content-Type", "application/json")]
                headers += [("Authorization", f"Bearer {host.key}")] if host.key else []
            parts = connection.http.request(payload.method, payload.target, headers, payload.body)
            self._using[attempt] = connection

            def written() -> None:
                self.core.request_written(attempt)
                self._sent[attempt].set()

            await connection.write(parts, written, attempt.request.sending_allowed)
            ended = await self._answer(attempt, connection, host.plain)
            clean = ended.status is not AttemptStatus.CANCELLED
            return ended
        finally:
            self._using.pop(attempt, None)
            if clean:
                self._put_back(connection)
            else:
                self._close(connection)

    async def _answer(  # noqa: PLR0915 - one answer, from its head to its end
        self,
        attempt: Attempt,
        connection: HostConnection,
        plain: bool,
        head: Head | None = None,
        cached: int = 0,
    ) -> Ended:
        """Reads the answer; `since` is when it last was whole up to an event, or when it began to be partial.

        Guards against spoilt answers whose connection stays open: what does not end where it should would
        keep its client waiting for ever.
        """
        body = b""
        splitter = sse.Splitter()
        tail = _Tail(self.report_names)
        tail.cached = cached
        partial = False
        since = trio.current_time()
        while True:
            patience = PARTIAL_S if partial else QUIET_S if attempt.stream_started else STALL_S
            events: list[Head | Body | End] = []
            until = since + patience
            if self.pass_on is not None and attempt.stream_started:
                until = min(until, trio.current_time() + PASS_AGAIN_S)
            with trio.move_on_at(until) as timer:
                self._waits[attempt] = timer
                events = await connection.receive()
            if timer.cancelled_caught and connection.dead():
                continue  # not silent: this process had not looked, for it was stopped or had no time
            if timer.cancelled_caught and trio.current_time() >= since + patience:
                raise Broken("the rest of the answer does not come" if partial else "silent")
            for event in events:
                if isinstance(event, Head):
                    head = event
                elif isinstance(event, Body) and head is not None:
                    if head.status != 200:
                        body += bytes(event.data)
                        if len(body) > MAX_ANSWER:
                            raise Broken("an answer without an end")
                        continue
                    for part in splitter.feed(event.data):
                        if plain and tail.error(part):
                            raise Broken("an error in the stream")
                        if not attempt.stream_started and not self.core.stream_started(now_ms(), attempt):
                            raise Broken("an answer that nobody wants")
                        tail.look(part)
                        self.core.forward_event(attempt, part)
                        since = trio.current_time()
                        partial = False
                elif isinstance(event, End) and head is not None:
                    if head.status != 200:
                        return _plain(head) if plain else self._told(attempt, head, body)
                    if plain and not tail.done:
                        raise Broken("a stream without [DONE]")
                    if not attempt.stream_started:
                        raise Broken("a stream without an event")
                    if rest := splitter.end():
                        self.core.forward_event(attempt, memoryview(rest))
                    return Ended(AttemptStatus.OK, _kept(tail.cached, attempt), tail.report)
            if attempt.stream_started:
                before = trio.current_time()
                await attempt.request.payload.wait_writable()
                since += trio.current_time() - before  # a slow client's time is not the host's
            was_partial = partial
            begun = attempt.stream_started
            waits = head is not None and not begun and not plain  # a plain host's head comes long before
            partial = connection.http.partial or splitter.partial or waits
            if partial and not was_partial:
                since = trio.current_time()
            if (
                self.pass_on is not None
                and attempt.stream_started
                and not partial
                and not plain
                and await self.pass_on(attempt, connection, tail.cached)
            ):
                return Ended(AttemptStatus.CANCELLED)  # it goes on elsewhere

    def _told(self, attempt: Attempt, head: Head, body: bytes) -> Ended:
        """What an answer without a stream means."""
        report = report_of(head.headers.get("srv-load"), self.report_names)
        declined = head.headers.get("srv-declined") == "1"
        if head.status == 202:
            return Ended(AttemptStatus.PREFILLED, _kept(_cached(body), attempt), report)
        if declined:
            return Ended(AttemptStatus.REJECTED, 1 if head.status == 410 else 0, report)
        if head.status in UNUSABLE:
            # Guards good hosts against blame, and the request against being shown to all of them.
            log_rate_limited(
                "upstream_rejected_request", id=attempt.request.id, server=attempt.server, status=head.status
            )
            self.core.request_invalid(now_ms(), attempt)
        return Ended(AttemptStatus.ERROR, 0, report)

    # --- short calls ---

    async def _call(self, connection: HostConnection, method: str, target: str) -> Head:
        """One call without a body; the connection is kept only after a whole answer."""
        clean = False
        try:
            parts = connection.http.request(method, target, [("Host", "app.svc")])
            await connection.write(parts, lambda: None)
            head: Head | None = None
            while True:
                for event in await connection.receive():
                    if isinstance(event, Head):
                        head = event
                    elif isinstance(event, End) and head is not None:
                        clean = True
                        return head
        finally:
            if clean:
                self._put_back(connection)
            else:
                self._close(connection)

    def reserve_decode_slot(self, call: PlaceCall) -> None:
        self.nursery.start_soon(self._hold_place, call)

    async def _hold_place(self, call: PlaceCall) -> None:
        held: bool | None = None
        nothing_done = True
        try:
            with trio.move_on_after(CALL_S):
                if call.server in self.core.stateless_hosts:
                    raise NotUp("holds no places")
                sent = self._sent.get(call.attempt) if call.attempt is not None else None
                first = sent.wait if sent is not None else None
                connection = await self._ready(call.server, lambda: self._place_wanted(call), first)
                if connection is not None:
                    nothing_done = False
                    head = await self._call(connection, "POST", f"/state/{call.request.id}")
                    held = {200: True, 409: False}.get(head.status)
                    # Guards against a place that outlives its request: a 204 may hold one.
                    nothing_done = head.status in (404, 409)
        except (NotUp, OSError, Broken):
            pass
        except Exception as error:
            log("reservation_failed", id=call.request.id, error=repr(error))
        self.core.reservation_finished(call, held, nothing_done)

    def _place_wanted(self, call: PlaceCall) -> bool:
        """Guards against a place call that overtakes its read, or comes after it.

        The writer knows of no read then and says 204 after 0.3 s; the state may have gone to a place on
        which nobody counts.
        """
        attempt = call.attempt
        out = attempt is not None and attempt.request_written and not attempt.finished
        return out and not call.request.done and self.core.may_write_to(call.server)

    def release_state(self, call: ReleaseCall) -> None:
        self._releases[call] = trio.Event()
        self.nursery.start_soon(self._release, call)

    async def _let_go(self, request: OpenRequest) -> None:
        """Guards against a further send that keeps what the one before has left from being let go."""
        with trio.move_on_after(RELEASE_FIRST_S):
            while (call := request.release) is not None and not call.superseded:
                await self._releases[call].wait()

    async def _release(self, call: ReleaseCall) -> None:
        """Any host takes it, so one after the other is asked, each beside those that have not answered yet.

        Until it is through or a further send has made it pointless; past the time that the rule gives, a
        while longer, since the state is still there.
        """
        through = self._releases[call]
        until = trio.current_time() + RELEASE_MOST_S
        tried: set[str] = set()
        async with trio.open_nursery() as nursery:
            while not through.is_set() and not call.superseded and trio.current_time() < until:
                server = self._release_host(tried)
                if server is None:
                    tried.clear()
                    with trio.move_on_after(RELEASE_NEXT_S):
                        await through.wait()
                    continue
                tried.add(server)
                ended = trio.Event()
                nursery.start_soon(self._ask_release, call, server, through, ended)
                with trio.move_on_after(RELEASE_NEXT_S):
                    await ended.wait()
            nursery.cancel_scope.cancel()
        del self._releases[call]
        self.core.release_finished(call, through.is_set())
        through.set()

    async def _ask_release(
        self, call: ReleaseCall, server: str, through: trio.Event, ended: trio.Event
    ) -> None:
        try:
            with trio.move_on_after(RELEASE_TRY_S):
                connection = await self._ready(server, lambda: not call.superseded and not through.is_set())
                if connection is not None:
                    head = await self._call(connection, "DELETE", f"/state/{call.request.id}")
                    if head.status < 300:
                        through.set()
        except (NotUp, OSError, Broken):
            pass
        except Exception as error:
            log("release_failed", id=call.request.id, error=repr(error))
        finally:
            ended.set()

    def _release_host(self, tried: set[str]) -> str | None:
        """The one most likely to answer: wanted by the list, heard of late, with a connection open."""
        names = [n for n in self.core.endpoints if n in self.hosts and n not in tried]
        names = [n for n in names if n not in self.core.stateless_hosts]
        if not names:
            return None

        def rank(name: str) -> tuple[bool, bool, float]:
            host = self.hosts[name]
            return name not in self.core.draining, bool(host.idle), host.heard_at

        return max(names, key=rank)

    def check_health(self, server: str) -> None:
        self.nursery.start_soon(self._probe, server)

    async def _probe(self, server: str) -> None:
        if server in self.core.stateless_hosts:
            return
        began = now_ms()
        status = AttemptStatus.TIMEOUT
        report = None
        try:
            with trio.move_on_after(CALL_S):
                connection = await self._ready(server, lambda: self.core.may_write_to(server))
                if connection is None:
                    return
                head = await self._call(connection, "GET", "/-/load")
                status = AttemptStatus.OK if head.status == 200 else AttemptStatus.ERROR
                report = report_of(head.headers.get("srv-load"), self.report_names)
        except NotUp:
            status = AttemptStatus.CONNECT_FAILED
        except (OSError, Broken):
            status = AttemptStatus.RESET
        except Exception as error:
            log("health_check_failed", server=server, error=repr(error))
        self.core.health_checked(HealthCheckResult(server, status, now_ms() - began, report))


class _Tail:
    """What a stream's last events tell besides the answer."""

    def __init__(self, names: tuple[str, ...]) -> None:
        self._names = names
        self.cached = 0
        self.done = False
        self.report: Report = None

    def error(self, event: memoryview) -> bool:
        """A plain host may tell of a break in an event of its own."""
        raw = bytes(event)
        if b'"error"' not in raw:
            return False
        try:
            return msgspec.json.decode(sse.payload(event), type=_ErrorEvent).error is not None
        except msgspec.MsgspecError:
            return False

    def look(self, event: memoryview) -> None:
        raw = bytes(event)
        if b"[DONE]" in raw and sse.payload(event).strip() == b"[DONE]":
            self.done = True
        if raw.startswith(b":") or b"\n:" in raw:
            for comment in sse.comments(event):
                name, _, value = comment.partition(":")
                if name.strip().lower() == "srv-load":
                    self.report = report_of(value, self._names)
        if b'"usage"' in raw:
            try:
                usage = msgspec.json.decode(sse.payload(event), type=_LastEvent).usage
            except msgspec.MsgspecError:
                return
            if usage is not None and usage.prompt_tokens_details is not None:
                self.cached = usage.prompt_tokens_details.cached_tokens


def _plain(head: Head) -> Ended:
    """OpenAI's statuses: a 429 did not run, anything else may have."""
    return Ended(AttemptStatus.REJECTED if head.status == 429 else AttemptStatus.ERROR)


def _kept(tokens: int, attempt: Attempt) -> int:
    """Guards the decisions against a count that can't be true."""
    return int(max(0, min(tokens, attempt.request.policy_request.prompt_tokens)))


def _cached(body: bytes) -> int:
    try:
        return msgspec.json.decode(body, type=_Details).cached_tokens
    except msgspec.MsgspecError:
        return 0
