"""A model host that injects the faults of each request's script, and records the attempts it receives."""

from __future__ import annotations

import fcntl
import random
import socket
import termios
from array import array
from collections.abc import Awaitable, Callable, Mapping

import trio

from violetstack.policy_api import Role
from violetstack.rehearsal.fleet.campaign_faults import (
    STREAM_FAULTS,
    HostFault,
    RequestScript,
    RequestStage,
)
from violetstack.rehearsal.fleet.campaign_settings import HostPlan
from violetstack.rehearsal.fleet.freeze_gate import FreezeGate, peer_has_closed, reset_connection
from violetstack.rehearsal.fleet.host_holds import UNCERTAIN_AFTER_S, HoldRecorder
from violetstack.rehearsal.fleet.minimal_http import LAST_CHUNK, Ended, Wire, chunk, message
from violetstack.rehearsal.fleet.socket_audit import Evidence, HostAttempt
from violetstack.rehearsal.fleet.stream_faults import (
    NO_SLOW_EVENT,
    SLOW_EVENT_PIECE_INTERVAL_S,
    SlowEvent,
    StoppedStream,
    StreamFaults,
)
from violetstack.rehearsal.peer import Peer

STREAM_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
PREFILLED_BODY = b'{"cached_tokens":0}'
STREAM_EVENTS = 4
LONG_STREAM_EVENTS = 30
LONG_STREAM_DURATION_S = 3.0
SLOW_RESPONSE_DELAY_S = 0.4
LISTEN_BACKLOG = 128
ACCEPT_QUEUE_FILLERS = 3
QUEUED_CONNECTION_S = 0.5
"""Connections accepted within this time after `resume_connecting` may have been established before."""
READ_STALL_S = 0.45
RECEIVE_BUFFER_BYTES = 64 * 1024
"""Small, so that a dispatcher cannot send all of a large request to a host that does not read."""
SECOND_RESPONSE_DELAYS_S = (0.0, 0.002, 0.01, 0.05)
SLOW_READER_PADDING = "x" * 5000
"""Part of each event for a slow reader, so that the stream does not fit into its receive buffer."""
ENDLESS_SEND_S = 8.0
STATE_LEAVING_FAULTS = frozenset({HostFault.RESET_BEFORE_EVENT, HostFault.CLOSE_BEFORE_EVENT})
"""Faults after which a prefill may have succeeded, so that its state is held.

A host discards the state of an abandoned prefill on its own.
"""
FAULTS_ANSWERED_BY_STATUS = frozenset({HostFault.DECLINE, HostFault.STATE_GONE, HostFault.ERROR})
"""Faults whose attempt ends before its answer is sent, so that it has ended when the answer arrives."""


def unread_bytes(sock: trio.socket.SocketType) -> int:
    """Returns the number of bytes in the socket's receive buffer."""
    buffer = array("i", [0])
    fcntl.ioctl(sock.fileno(), termios.FIONREAD, buffer)
    return buffer[0]


async def peer_ends(sock: trio.socket.SocketType) -> bool:
    """Waits for input; returns whether it is the end of the connection rather than further bytes."""
    if sock.fileno() < 0:
        # On a busy machine the response may close the socket first. trio would wait for descriptor -1, fail,
        # and keep it registered, so that the next such wait would raise BusyResourceError.
        return True
    try:
        await trio.lowlevel.wait_readable(sock)
        return not await sock.recv(1, socket.MSG_PEEK)
    except (OSError, trio.ClosedResourceError):
        return True


class CampaignHost(Peer):
    """One model host. The campaign makes it refuse connections, not establish them, freeze or hang."""

    def __init__(
        self,
        plan: HostPlan,
        evidence: Evidence,
        scripts: Mapping[str, RequestScript],
        clock: Callable[[], float],
        *,
        seed: int,
        health_checks: bool,
        load_report: str,
    ) -> None:
        super().__init__()
        self.plan = plan
        self.name = plan.name
        self.state = "active"
        self.refuses_reservations = False
        self.hanging = False
        """Whether new attempts get no answer."""
        self._evidence = evidence
        self._scripts = scripts
        self._clock = clock
        self._hold_recorder = HoldRecorder(evidence.holds, plan.name, clock)
        self._rng = random.Random(f"host {seed} {plan.name}")
        self._health_checks = health_checks
        self._load_report = load_report
        self._port = 0
        self._filler_sockets: list[socket.socket] = []
        self._listening: trio.socket.SocketType
        self._stopped_at: float | None = None
        self._resumed_at = 0.0
        self._resumed = trio.Event()
        self._gate = FreezeGate(clock)
        self._stream_faults = StreamFaults(f"{seed} {plan.name}")

    # --- listening ---

    async def serve(self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED) -> None:
        async with trio.open_nursery() as nursery:
            self._listen()
            task_status.started()
            while True:
                self._resumed = trio.Event()
                self._accepting = trio.CancelScope()
                with self._accepting:
                    await self._accept_all(nursery)
                await self._resumed.wait()

    async def _accept_all(self, nursery: trio.Nursery) -> None:
        while True:
            try:
                sock, _ = await self._listening.accept()
            except OSError:
                if self._listening.fileno() < 0:
                    return  # it refuses connections from now on
                raise
            queued = self._stopped_at is not None and self._clock() < self._resumed_at + QUEUED_CONNECTION_S
            nursery.start_soon(
                self._serve_connection, trio.SocketStream(sock), self._stopped_at if queued else None
            )

    def _listen(self) -> None:
        raw = socket.socket()
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        raw.bind(("127.0.0.1", self._port))
        raw.listen(LISTEN_BACKLOG)
        raw.setblocking(False)
        self._port = raw.getsockname()[1]
        self.address = f"127.0.0.1:{self._port}"
        self._listening = trio.socket.from_stdlib_socket(raw)

    def refuse_connections(self) -> None:
        """Refuses new connections and breaks the open ones."""
        self.die()
        self._listening.close()

    def stop_refusing(self) -> None:
        """Ends the effect of `refuse_connections`."""
        self._listen()
        self._resumed.set()

    def stop_connecting(self) -> None:
        """Fills the accept queue, so that no new connection is established until `resume_connecting`."""
        self._accepting.cancel()
        self._stopped_at = self._clock()
        if self._listening.fileno() < 0:
            return  # it refuses connections at the moment
        self._listening.listen(0)
        for _ in range(ACCEPT_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self._port))
            self._filler_sockets.append(filler)

    def resume_connecting(self) -> None:
        """Ends the effect of `stop_connecting`; waiting connections are established by their next SYN."""
        for filler in self._filler_sockets:
            filler.close()
        self._filler_sockets.clear()
        if self._listening.fileno() >= 0:
            self._listening.listen(LISTEN_BACKLOG)
        self._resumed_at = self._clock()
        self._resumed.set()

    def freeze(self) -> None:
        """Accepts connections and data as before, but begins no request until `thaw`."""
        self._gate.freeze()

    def thaw(self, *, resets: bool) -> None:
        """Begins the requests received meanwhile, or resets their connections if `resets` is set."""
        self._gate.thaw(resets=resets)

    def hang_up(self) -> None:
        """Breaks every connection, and thereby every unfinished stream."""
        for attempt in self._evidence.attempts:
            streaming = attempt.closed_at is None and attempt.stream_ended_at is None
            if attempt.host == self.name and streaming:
                attempt.stream_faulty = True
        super().hang_up()

    # --- connections ---

    async def _serve_connection(self, raw: trio.SocketStream, queued_since: float | None) -> None:
        """Serves one connection.

        `queued_since`: data in the socket may have arrived at any time since then; None if it arrives now.
        """
        with trio.CancelScope() as scope:
            self.connections.add(scope)
            try:
                wire = Wire(raw)
                while True:
                    await self._serve_request(wire, queued_since)
                    queued_since = None
            except (Ended, OSError, trio.ClosedResourceError, trio.BrokenResourceError):
                pass
            finally:
                self.connections.discard(scope)
                raw.socket.close()

    async def _serve_request(self, wire: Wire, queued_since: float | None) -> None:
        start_line, headers = await wire.head()
        frozen_since = await self._gate.wait(wire)
        if frozen_since is not None:
            queued_since = frozen_since
        method, path = start_line[0], start_line[1]
        if path.startswith("/-/"):
            await self._answer(wire, 200 if self._health_checks else 404)
        elif path.startswith("/state/"):
            await self._serve_state_call(wire, method, path.removeprefix("/state/"))
        else:
            await self._serve_attempt(wire, headers, queued_since)

    async def _serve_state_call(self, wire: Wire, method: str, request_id: str) -> None:
        if method == "DELETE":
            self._hold_recorder.release_taken(request_id)
            await self._answer(wire, 204)
            return
        status = self._rng.choice((200, 200, 200, 409, 204))
        if status != 409:
            self._hold_recorder.slot_reserved(request_id)
        if status == 200 and not await self._hold_recorder.wait_for_prefill(request_id):
            await self._answer(wire, 204)
            return
        if status == 204:
            await trio.sleep(UNCERTAIN_AFTER_S)
        await self._answer(wire, status)

    async def _serve_attempt(self, wire: Wire, headers: dict[str, str], queued_since: float | None) -> None:
        request_id = headers.get("req-id", "")
        script = self._scripts.get(request_id)
        fault = script.next_host_fault() if script is not None else HostFault.NONE
        if self.hanging:
            fault = HostFault.HANG
        if fault is HostFault.RESET_WHILE_READING:
            self._record_fault(script, fault)
            reset_connection(wire.stream.socket)
            raise Ended
        arrived_at = self._earliest_arrival(request_id, queued_since)
        head_at = self._clock() if arrived_at is None else arrived_at
        length = int(headers.get("content-length", 0))
        if fault is HostFault.STALL_WHILE_READING:
            self._record_fault(script, fault)
            stalled_at = self._clock()
            await trio.sleep(READ_STALL_S)
            if arrived_at is None and unread_bytes(wire.stream.socket) >= length - len(wire.buffer):
                arrived_at = stalled_at
        await wire.body(length)
        frozen_since = await self._gate.wait(wire)
        if frozen_since is not None and queued_since is None:
            queued_since = frozen_since
            arrived_at = self._earliest_arrival(request_id, queued_since)
        attempt = HostAttempt(
            request_id,
            self.name,
            self.plan.role,
            self.plan.zone,
            self.plan.cell,
            self._clock() if arrived_at is None else arrived_at,
            _parse_deadline_s(headers.get("req-deadline", "")),
            head_at,
            stalled=fault is HostFault.STALL_WHILE_READING or queued_since is not None,
            read_at=self._clock() if queued_since is not None else None,
        )
        await self._run_attempt(wire, attempt, fault, script)

    async def _run_attempt(
        self, wire: Wire, attempt: HostAttempt, fault: HostFault, script: RequestScript | None
    ) -> None:
        """Responds to an attempt that has begun, and records its end, whatever the cause."""
        self._evidence.attempts.append(attempt)
        self._hold_recorder.attempt_begun(attempt, lambda: peer_has_closed(wire.stream.socket))
        if script is not None:
            is_prefill = self.plan.role is Role.PREFILL
            script.reach(RequestStage.PREFILL_IN_FLIGHT if is_prefill else RequestStage.DECODE_IN_FLIGHT)
        try:
            await self._until_closed(wire, attempt, lambda: self._respond(wire, attempt, fault, script))
        finally:
            self._hold_recorder.attempt_ended(attempt, leaves_state=False)
            if attempt.closed_at is None:
                attempt.closed_at = self._clock()

    def _earliest_arrival(self, request_id: str, queued_since: float | None) -> float | None:
        """Returns the earliest possible arrival of an attempt on a queued connection; None if it is now."""
        exchange = self._evidence.exchanges.get(request_id)
        if queued_since is None or exchange is None or exchange.sent_at is None:
            return queued_since
        return max(queued_since, exchange.sent_at)

    async def _until_closed(
        self, wire: Wire, attempt: HostAttempt, respond: Callable[[], Awaitable[None]]
    ) -> None:
        """Sends the response, and records at once if the dispatcher closes the connection."""
        closed = False

        async def watch(scope: trio.CancelScope) -> None:
            nonlocal closed
            if await peer_ends(wire.stream.socket):
                closed = True
                attempt.closed_at = self._clock()
                self._hold_recorder.attempt_ended(attempt, leaves_state=False)
                scope.cancel()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(watch, nursery.cancel_scope)
            try:
                await respond()
            except (Ended, OSError, trio.ClosedResourceError):
                closed = True
            nursery.cancel_scope.cancel()
        if closed:
            raise Ended

    def _record_fault(self, script: RequestScript | None, fault: HostFault) -> None:
        if script is not None:
            script.occurred_faults.add(f"host {fault.value}")

    # --- responses ---

    async def _respond(
        self, wire: Wire, attempt: HostAttempt, fault: HostFault, script: RequestScript | None
    ) -> None:
        if fault is HostFault.NONE and self.state != "active" and self._rng.random() < 0.5:
            fault = HostFault.DECLINE
        is_prefill = self.plan.role is Role.PREFILL
        if is_prefill and fault in STREAM_FAULTS | {HostFault.LONG_STREAM}:
            fault = HostFault.NONE
        if fault is not HostFault.NONE:
            self._record_fault(script, fault)
        await trio.sleep(self._rng.choice((0.005, 0.02, 0.06)))
        if await self._inject_response_fault(wire, attempt, fault):
            return
        if is_prefill:
            self._hold_recorder.attempt_ended(attempt, leaves_state=not peer_has_closed(wire.stream.socket))
            await self._answer(wire, 202, PREFILLED_BODY)
            attempt.closed_at = self._clock()
            if script is not None:
                script.reach(RequestStage.BETWEEN_PREFILL_AND_DECODE)
        else:
            await self._stream(wire, attempt, fault, script)
        await self._after_response(wire, fault, is_prefill)

    async def _inject_response_fault(self, wire: Wire, attempt: HostAttempt, fault: HostFault) -> bool:
        """Injects a fault that replaces the response; returns False if a response has to follow."""
        if fault in STATE_LEAVING_FAULTS | FAULTS_ANSWERED_BY_STATUS:
            self._hold_recorder.attempt_ended(attempt, leaves_state=fault in STATE_LEAVING_FAULTS)
        match fault:
            case HostFault.DECLINE:
                attempt.declined = True
                await self._answer(wire, self._rng.choice((503, 504)), declined=True)
            case HostFault.STATE_GONE:
                attempt.declined = True
                await self._answer(wire, 410, declined=True)
            case HostFault.ERROR:
                await self._answer(wire, 500)
            case HostFault.HANG:
                await trio.sleep_forever()
            case HostFault.RESET_BEFORE_EVENT:
                reset_connection(wire.stream.socket)
                raise Ended
            case HostFault.CLOSE_BEFORE_EVENT:
                raise Ended
            case HostFault.MALFORMED_HEAD:
                await wire.send(b"HTTP/9.9 banana\r\n:::\r\n\r\n")
                await trio.sleep(0.2)
                raise Ended
            case HostFault.ENDLESS_HEAD:
                await wire.send(b"HTTP/1.1 200 OK\r\n")
                with trio.move_on_after(ENDLESS_SEND_S):
                    while True:
                        await wire.send(b"X-Pad: 0123456789\r\n")
                        await trio.sleep(0.02)
                raise Ended
            case _:
                if fault is HostFault.SLOW:
                    await trio.sleep(SLOW_RESPONSE_DELAY_S)
                return False
        return True

    async def _stream(
        self, wire: Wire, attempt: HostAttempt, fault: HostFault, script: RequestScript | None
    ) -> None:
        event_interval_s = self._rng.choice((0.0, 0.01, 0.05, 0.12))
        attempt.stream_faulty = fault in STREAM_FAULTS
        padding = SLOW_READER_PADDING if script is not None and script.reads_slowly else ""
        self._hold_recorder.stream_started(attempt)
        first = _event(f"{attempt.request_id}@{self.name}#{len(self._evidence.attempts)}:0")
        await self._write_events(wire, attempt, first, STREAM_HEAD)
        if script is not None:
            script.reach(RequestStage.STREAMING)
        if fault is HostFault.RESET_AFTER_EVENT:
            await trio.sleep(event_interval_s)
            reset_connection(wire.stream.socket)
            raise Ended
        events = STREAM_EVENTS
        slow_event = NO_SLOW_EVENT
        if fault is HostFault.LONG_STREAM:
            events = LONG_STREAM_EVENTS
            event_interval_s = LONG_STREAM_DURATION_S / events
            slow_event = self._stream_faults.draw_slow_event(events)
        for n in range(1, events):
            await trio.sleep(event_interval_s)
            if n == 2 and await self._inject_stream_fault(wire, attempt, fault):
                attempt.closed_at = self._clock()
                return
            event = _event(f"{attempt.request_id}:{n}{padding}")
            if n == slow_event.number:
                await self._write_slowly(wire, attempt, event, slow_event)
            else:
                await self._write_events(wire, attempt, event)
        trailer = b"data: [DONE]\n\n"
        if self._load_report:
            trailer += f": Srv-Load: {self._load_report}\n\n".encode()
        attempt.events += trailer
        attempt.stream_ended_at = self._clock()
        attempt.last_event_at = attempt.stream_ended_at
        await wire.send(chunk(trailer) + LAST_CHUNK)
        attempt.closed_at = self._clock()

    async def _inject_stream_fault(self, wire: Wire, attempt: HostAttempt, fault: HostFault) -> bool:
        """Injects a fault into a stream; returns whether it has ended the response."""
        if fault is HostFault.HANG_AFTER_EVENT:
            return await self._stream_faults.stop(wire, attempt) is StoppedStream.ENDS_EARLY
        if fault is HostFault.MALFORMED_CHUNK:
            await wire.send(b"zz\r\nnot a chunk\r\n")
            await trio.sleep_forever()
        if fault is HostFault.ENDLESS_CHUNK:
            await wire.send(b"fffff\r\ndata: ")
            with trio.move_on_after(ENDLESS_SEND_S):
                while True:
                    await wire.send(b"x" * 10)
                    await trio.sleep(0.02)
            raise Ended
        return False

    async def _write_slowly(
        self, wire: Wire, attempt: HostAttempt, event: bytes, slow_event: SlowEvent
    ) -> None:
        """Writes one event in pieces, with pauses in between; the stream is still coming meanwhile."""
        attempt.events += event
        for piece in slow_event.split(event):
            attempt.last_event_at = self._clock()
            await wire.send(chunk(piece))
            await trio.sleep(SLOW_EVENT_PIECE_INTERVAL_S)

    async def _write_events(
        self, wire: Wire, attempt: HostAttempt, events: bytes, prefix: bytes = b""
    ) -> None:
        attempt.events += events
        attempt.last_event_at = self._clock()
        await wire.send(prefix + chunk(events))

    async def _after_response(self, wire: Wire, fault: HostFault, is_prefill: bool) -> None:
        if fault is HostFault.CLOSE_AFTER_RESPONSE:
            await trio.sleep(self._rng.choice(SECOND_RESPONSE_DELAYS_S))
            raise Ended
        if fault is HostFault.SECOND_RESPONSE:
            await trio.sleep(self._rng.choice(SECOND_RESPONSE_DELAYS_S))
            if is_prefill:
                await self._answer(wire, 202, PREFILLED_BODY)
            else:
                await wire.send(STREAM_HEAD + chunk(_event("second response")) + LAST_CHUNK)

    async def _answer(self, wire: Wire, status: int, body: bytes = b"", declined: bool = False) -> None:
        headers = {"Content-Type": "application/json"}
        if self._load_report:
            headers["Srv-Load"] = self._load_report
        if declined:
            headers["Srv-Declined"] = "1"
        await wire.send(message(f"HTTP/1.1 {status} .", headers, body))

    def row(self, started_ms: float = 0.0) -> dict[str, object]:
        """Returns its entry of the endpoint list."""
        return {
            "id": self.name,
            "addr": self.address,
            "zone": self.plan.zone,
            "kind": self.plan.kind,
            "cell": self.plan.cell,
            "state": self.state,
            "weight": 1.0,
            "started_ms": started_ms,
        }


def _event(content: str) -> bytes:
    text = f'{{"choices":[{{"index":0,"delta":{{"content":"{content}"}},"finish_reason":null}}]}}'
    return f"data: {text}\n\n".encode()


def _parse_deadline_s(text: str) -> float | None:
    units = {"m": 0.001, "u": 0.000001}
    if not text or text[-1] not in units or not text[:-1].isdigit():
        return None
    return int(text[:-1]) * units[text[-1]]
