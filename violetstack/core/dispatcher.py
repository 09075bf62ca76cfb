"""Feeds the decision module and carries out its actions; owns attempts, deadlines and final answers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, Protocol

from violetstack.core.metrics import RequestMetrics
from violetstack.core.records import (
    Attempt,
    Driver,
    LoadShedder,
    OpenRequest,
    Origin,
    OutlierObserver,
    ReleaseCall,
    ReservationCall,
    Routes,
    Shed,
    Sink,
)
from violetstack.core.timers import Timers
from violetstack.policy_api import (
    FAILURE_STATUSES,
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    FailRequest,
    FetchEndpoints,
    GossipReceived,
    HealthCheckResult,
    Idempotency,
    MigrateStream,
    OutlierCheckResult,
    ProcessPaused,
    RejectRequest,
    ReleaseState,
    Request,
    ReservationResult,
    ReserveDecodeSlot,
    Role,
    SendAttempt,
    SendGossip,
    SendHealthCheck,
    Settings,
    SetWatch,
    ShutdownStarted,
    StartTimer,
    StreamStarted,
    TimerFired,
    UpdateScope,
    WriteLog,
)

LEAST_CONNECT_MS = 40.0  # even where the time of what is held is nearly over; a release takes a few


class Policy(Protocol):
    def handle(self, now: float, events: list[Event]) -> list[Action]: ...


class MigratedStream(Protocol):
    """What is told of a stream that another process has begun."""

    @property
    def id(self) -> str: ...

    @property
    def class_index(self) -> int: ...

    @property
    def tenant_index(self) -> int: ...

    @property
    def server(self) -> str: ...

    @property
    def age_ms(self) -> float: ...

    @property
    def events_forwarded(self) -> int: ...

    @property
    def prompt_tokens(self) -> float: ...

    @property
    def holds_remote_state(self) -> bool: ...


class DuplicateRequestError(Exception):
    """A request with this id is still open."""


class Dispatcher:
    """One dispatcher's requests. Every method that needs the time takes it; `run` is called when woken."""

    def __init__(self, settings: Settings, decider: Policy, driver: Driver, drain_grace_ms: float) -> None:
        self.settings = settings
        self.policy = decider
        self.driver = driver
        self.drain_grace_ms = drain_grace_ms
        self.open_requests: dict[str, OpenRequest] = {}
        self.endpoints: dict[str, Endpoint] = {}
        self.draining: set[str] = set()  # servers that are known to drain
        self.stateless_hosts: set[str] = set()  # hosts that take no states, places or releases
        self.pending_events: list[Event] = []
        self.changed_requests: dict[str, OpenRequest] = {}
        self.wake: Callable[[], None] = lambda: None
        self.timers = Timers()
        self.metrics = RequestMetrics(len(settings.classes))
        self.routes: Routes | None = None
        self.load_shedder: LoadShedder | None = None
        self.outlier_observer: OutlierObserver | None = None
        self.retry_after_ms: Callable[[float], float] = lambda ms: ms  # when to come back
        self.max_unread_ms: Callable[[], float] = lambda: 0.0  # age of what is read now, at most

    # --- events in ---

    def _post(self, event: Event) -> None:
        self.pending_events.append(event)
        self.wake()

    def update_endpoints(self, now: float, news: EndpointUpdate) -> None:
        """A host that is gone is forgotten here and now: hosts come with new ids all day long."""
        if news.scope is not UpdateScope.DELTA:
            self.endpoints = {}
        for entry in news.endpoints:
            self.endpoints[entry.server] = entry
            if entry.state is EndpointState.DRAINING:
                self.draining.add(entry.server)
            else:
                self.draining.discard(entry.server)
            if entry.state is EndpointState.REMOVED:
                del self.endpoints[entry.server]
        self.draining &= self.endpoints.keys()
        if self.routes is not None:
            self.routes.update_endpoints(now, news)
        if self.outlier_observer is not None:
            self.outlier_observer.endpoints_listed(now, self.endpoints)
        self._post(news)

    def route(self, asked: Request, origin: Origin) -> Request:
        """Every front calls this before `take`, with the request as it read it. Raises NotRouted."""
        return asked if self.routes is None else self.routes.route(asked, origin)

    def admit(self, now: float, asked: Request) -> Shed | None:
        """Every front calls this right before `take`; what is shed is answered at once, with its advice.

        Guards against answers past their time: what may have lain unread counts as having done so.
        """
        asked.age_ms = self.max_unread_ms()
        asked.expires_in_ms -= asked.age_ms
        shed = None if self.load_shedder is None else self.load_shedder.admit(now, asked)
        if asked.expires_in_ms <= 0.0:
            shed = Shed("unread", min(self.settings.max_retry_after_ms, self.latency_objective_ms(asked)))
        if shed is not None:
            self.metrics.request_accepted(asked.class_index)
            self.metrics.request_finished(asked.class_index, "shed")
        return shed

    def latency_objective_ms(self, asked: Request) -> float:
        """When this request's first token is wanted."""
        spec = self.settings.classes[asked.class_index]
        stretch = spec.objective_stretch * (asked.expected_answer_ms or 0.0)
        return max(
            1.0,
            spec.latency_objective_ms
            + spec.objective_ms_per_1000_tokens * asked.prompt_tokens / 1000.0
            + stretch,
        )

    def waiting_ratios(self, now: float) -> list[float]:
        """Ages of the requests without a first token, as parts of their aims."""
        rows = [r for r in self.open_requests.values() if not r.done and r.committed_attempt is None]
        return [(now - r.arrived_at) / self.latency_objective_ms(r.policy_request) for r in rows]

    def accept(self, now: float, asked: Request, sink: Sink, payload: object) -> OpenRequest:
        if asked.id in self.open_requests:
            raise DuplicateRequestError(asked.id)
        request = OpenRequest(asked, sink, payload, now, now + asked.expires_in_ms)
        self.open_requests[asked.id] = request
        self.metrics.request_accepted(asked.class_index)
        if self.routes is not None:
            self.routes.request_accepted(now, asked)
        request.deadline_timer = self.timers.schedule(request.deadline, lambda at: self._overdue(at, request))
        self._post(asked)
        return request

    def client_disconnected(self, now: float, request: OpenRequest) -> None:
        """Guards against work for nobody: a stream that nobody reads ends, the module is told of the rest."""
        request.client_disconnected = True
        if request.done or (request.survives_disconnect and may_have_run(request)):
            return
        self._settle(now, request, "left")
        if request.survives_disconnect:
            self._tell(request.sink.failed, False)  # nothing of it has run, which its record is to say
        self._post(ClientDisconnected(request.id))
        if request.committed_attempt is not None:
            self.driver.abort_attempt(request.committed_attempt)
            self.attempt_finished(now, request.committed_attempt, AttemptStatus.CANCELLED)

    def can_migrate(self, attempt: Attempt) -> bool:
        """Is the stream all that is under way here for its request?"""
        request = attempt.request
        if (
            attempt.finished
            or request.done
            or request.committed_attempt is not attempt
            or len(request.in_flight) > 1
        ):
            return False
        return not request.reservations_in_flight and request.release is None

    def stream_migrated(self, now: float, attempt: Attempt) -> None:
        """Another process goes on with the stream, and releases at its end what may be held for it."""
        attempt.request.holds_remote_state = False
        self._settle(now, attempt.request, "moved")
        self._post(ClientDisconnected(attempt.request.id))
        self.attempt_finished(now, attempt, AttemptStatus.CANCELLED)

    def adopt_stream(self, now: float, told: MigratedStream, sink: Sink) -> Attempt:
        """A stream that another process began; the module hears nothing of it, since nothing is to decide."""
        asked = Request(
            told.id,
            told.class_index,
            told.tenant_index,
            None,
            0.0,
            None,
            None,
            told.prompt_tokens,
            0.0,
            0.0,
            False,
            False,
        )
        request = OpenRequest(asked, sink, None, now - told.age_ms, now)
        attempt = Attempt(
            request, 0, told.server, False, request.arrived_at, now, True, True, told.events_forwarded
        )
        request.committed_attempt = attempt
        request.in_flight = {0: attempt}
        request.attempts_sent = 1
        request.holds_remote_state = told.holds_remote_state
        self.open_requests[asked.id] = request
        self.metrics.request_accepted(asked.class_index)
        if self.routes is not None:
            self.routes.request_accepted(now, asked)
        return attempt

    def process_paused(self, now: float, gap_ms: float) -> None:
        """Guards against decisions on what was known before the gap.

        The module hears of the gap first, then of the list, whichever socket was read first.
        """
        lists = [event for event in self.pending_events if isinstance(event, EndpointUpdate)]
        others = [event for event in self.pending_events if not isinstance(event, EndpointUpdate)]
        self.pending_events = [ProcessPaused(gap_ms), *lists, *others]
        self.wake()

    def shutdown_started(self) -> None:
        """Guards against what the end would cut off without a word, and states that nobody would release."""
        self._post(ShutdownStarted())

    def health_checked(self, probed: HealthCheckResult) -> None:
        self._post(probed)

    def gossip_received(self, message: GossipReceived) -> None:
        self._post(message)

    def outlier_checked(self, trial: OutlierCheckResult) -> None:
        self._post(trial)

    # --- what attempts report ---

    def may_write_to(self, server: str) -> bool:
        """Asked in the step that writes a first byte, whatever it begins.

        Guards against a host told as leaving, or gone, since it was chosen. Nothing is left of the time in
        which a drain binds: what is pushed counts as told before this process has read it.
        """
        return server in self.endpoints and server not in self.draining

    def may_send(self, now: float, attempt: Attempt) -> bool:
        """The same for an attempt; its request may be over by now as well, its client gone, or the time past
        in which its class lets what may have run be sent again.
        """
        request = attempt.request
        if not attempt.finished and not request.done and request.sink.client_gone():
            # Its close may lie unread in the socket still.
            self.client_disconnected(now, request)
        spec = self.settings.classes[request.policy_request.class_index]
        repeats = (
            spec.idempotency is Idempotency.IDEMPOTENCY_KEY
            and request.may_have_run
            and not attempt.is_prefill
        )
        if (
            attempt.finished
            or request.done
            or (repeats and now >= request.first_run_at + spec.deduplication_window_ms)
        ):
            return False
        return self.may_write_to(attempt.server)

    def connect_timeout_ms(self, now: float, attempt: Attempt) -> float:
        """How long its connection may take to come up; what is held for its request has a time of its own.

        Guards against states and places that outlive it while one connection after the other does not come
        up: nothing that was not written takes them.
        """
        request = attempt.request
        within = self.settings.state_retention_ms
        if not (request.holds_remote_state and request.state_held_since and within):
            return math.inf
        return max(LEAST_CONNECT_MS, request.state_held_since + within - now)

    def request_started(self, attempt: Attempt) -> None:
        """Its first byte goes out in this step: a release written from now on would let go of its state."""
        if attempt.request.release is not None:
            attempt.request.release.superseded = True

    def request_written(self, attempt: Attempt) -> None:
        """The last byte of an attempt may have left; called in the step that hands it to the kernel."""
        attempt.request_written = True
        self.metrics.requests_written += 1

    def stream_started(self, now: float, attempt: Attempt) -> bool:
        """The first event of an answer came; False if it is not wanted (any more)."""
        request = attempt.request
        if attempt.finished or request.done or request.committed_attempt is not None:
            return False
        attempt.stream_started = True
        request.committed_attempt = attempt
        if self.load_shedder is not None:
            ratio = (now - request.arrived_at) / self.latency_objective_ms(request.policy_request)
            self.load_shedder.stream_started(now, ratio, request.policy_request.prompt_tokens)
        if not request.reservations_in_flight and attempt.server not in self.stateless_hosts:
            request.holds_remote_state = False  # what else was held goes by itself
        if request.release is not None:
            request.release.superseded = True
        if self.outlier_observer is not None:
            self.outlier_observer.attempt_observed(now, attempt.server, True)
        self._tell(request.sink.stream_started)
        self._post(StreamStarted(request.id, attempt.server, attempt.number, now - attempt.sent_at))
        return True

    def forward_event(self, attempt: Attempt, data: memoryview) -> None:
        if not attempt.finished:
            attempt.events_forwarded += 1
            self._tell(attempt.request.sink.event, data)

    def attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        status: AttemptStatus,
        note: int = 0,
        report: tuple[float | None, ...] | None = None,
    ) -> None:
        """The one outcome of an attempt; whatever comes after it is dropped."""
        if attempt.finished:
            return
        request = attempt.request
        attempt.finished = True
        self.timers.cancel(attempt.timer)
        del request.in_flight[attempt.number]
        if not request.done and (status is AttemptStatus.OK or request.committed_attempt is attempt):
            self._settle(now, request, "served" if status is AttemptStatus.OK else "cut")
            if status is AttemptStatus.OK:
                self._tell(request.sink.finished)
            else:
                self._tell(request.sink.stream_broken)
        if not attempt.is_prefill and attempt.request_written and not proves_idle(status):
            request.first_run_at = request.first_run_at if request.may_have_run else attempt.sent_at
            request.may_have_run = True
        if attempt.request_written:
            request.state_held_since = now
        if status is AttemptStatus.PREFILLED or (
            attempt.is_prefill and attempt.request_written and not proves_idle(status)
        ):
            request.holds_remote_state = True  # a read may have ended well just as its connection broke
        if self.outlier_observer is not None:
            if status is AttemptStatus.PREFILLED:
                self.outlier_observer.attempt_observed(now, attempt.server, True)
            elif status in FAILURE_STATUSES and not attempt.stream_started:
                self.outlier_observer.attempt_observed(now, attempt.server, False)
        took = now - attempt.sent_at
        request.attempt_log.append((attempt.server, status.value, round(took)))
        self._post(
            AttemptFinished(
                request.id, attempt.server, attempt.number, status, took, request.done, note, report
            )
        )
        self.changed_requests[request.id] = request
        if request.client_disconnected and not may_have_run(request):
            self.client_disconnected(
                now, request
            )  # what could have run did not, so nothing is left to go on with

    def request_invalid(self, now: float, attempt: Attempt) -> None:
        """A host says that the request itself is at fault: no other host is asked, and none is blamed."""
        request = attempt.request
        if attempt.finished or request.done or request.committed_attempt is not None:
            return
        self._settle(now, request, "unusable")
        self._tell(request.sink.failed, may_have_run(request))
        self.attempt_finished(now, attempt, AttemptStatus.CANCELLED)

    def reservation_finished(self, call: ReservationCall, held: bool | None, nothing_done: bool) -> None:
        """None: not known. Then, and also when the place is held, it stays loose until the request's end."""
        request = call.request
        request.reservations_in_flight -= 1
        told = "unknown" if held is None else "held" if held else "not_held"
        request.reservation_log.append((call.server, told))
        if not nothing_done:
            request.holds_remote_state = True
            if (overtaken := request.release) is not None and not overtaken.superseded:
                overtaken.superseded = True  # the place may have been taken after it
                self._release(overtaken.since, request)
        self.changed_requests[request.id] = request
        attempt = call.attempt
        if held is not None and attempt is not None and not attempt.finished:
            self._post(ReservationResult(request.id, attempt.server, attempt.number, held))
        self.wake()

    def release_finished(self, call: ReleaseCall, done: bool) -> None:
        request = call.request
        if request.release is call:
            request.release = None
            if done and not call.superseded:
                request.holds_remote_state = False
            elif not done and not call.superseded:
                request.holds_remote_state = False
                self.driver.log("release_abandoned", id=request.id)
        self.changed_requests[request.id] = request
        self.wake()

    # --- time ---

    def next_due(self) -> float:
        return self.timers.next_due()

    def run(self, now: float) -> None:
        """Timers that are due, then the events that came, then whatever follows from the actions."""
        self.timers.run(now)
        while self.pending_events or self.changed_requests:
            events = self.pending_events
            self.pending_events = []
            if events:
                for action in self._decide(now, events):
                    self._guarded(now, action)
            touched = self.changed_requests
            self.changed_requests = {}
            for request in touched.values():
                self._tidy(now, request)

    def _decide(self, now: float, events: list[Event]) -> list[Action]:
        """Guards against an end of the whole program: what the module leaves open is failed when overdue."""
        try:
            return self.policy.handle(now, events)
        except Exception as error:
            self.driver.log("policy_failed", error=repr(error))
            return []

    def _guarded(self, now: float, action: Action) -> None:
        try:
            self._carry_out(now, action)
        except Exception as error:
            self.driver.log("action_failed", action=repr(action), error=repr(error))

    def _overdue(self, now: float, request: OpenRequest) -> None:
        """The module answers before this; the core still owes the one final answer if it did not."""
        if request.done or request.committed_attempt is not None:
            return
        self.driver.log("request_overdue", id=request.id)
        self._settle(now, request, "overdue")
        self._tell(request.sink.failed, may_have_run(request))
        self.pending_events.append(ClientDisconnected(request.id))

    def _expire(self, now: float, attempt: Attempt) -> None:
        if attempt.finished or attempt.stream_started:
            return
        self.driver.abort_attempt(attempt)
        # Not yet written means that it never ran, however long it took.
        self.attempt_finished(
            now, attempt, AttemptStatus.TIMEOUT if attempt.request_written else AttemptStatus.CONNECT_FAILED
        )

    def _tidy(self, now: float, request: OpenRequest) -> None:
        """Guards against states and places that outlive their request: nothing loose is left behind."""
        if not request.done or request.in_flight:
            return
        if request.holds_remote_state:
            self._release(now, request)  # a place call that is still out needs one more after it
        elif request.release is None and not request.reservations_in_flight:
            self.open_requests.pop(request.id, None)
            request.close()
            more: dict[str, Any] = {}
            if self.routes is not None:
                more = self.routes.log_fields(request.policy_request)
                self.routes.request_closed(now, request.policy_request)
            self.driver.log(
                "request",
                id=request.id,
                cls=request.policy_request.class_index,
                answer=request.outcome,
                ms=round(request.answered_at - request.arrived_at),
                attempts=request.attempt_log,
                places=request.reservation_log,
                **more,
            )

    # --- actions out ---

    def _carry_out(self, now: float, action: Action) -> None:
        match action:
            case SendAttempt():
                self._send(now, action)
            case ReserveDecodeSlot():
                self._hold(now, action)
            case ReleaseState():
                if (request := self.open_requests.get(action.id)) is not None:
                    self._release(now, request)
            case CancelAttempt():
                self._cancel(now, action)
            case RejectRequest():
                if (request := self._answerable(now, action.id, "refused")) is not None:
                    self._tell(request.sink.rejected, self.retry_after_ms(action.retry_after_ms))
            case FailRequest():
                if (request := self._answerable(now, action.id, "failed")) is not None:
                    self._tell(request.sink.failed, may_have_run(request))
            case StartTimer():
                token = action.token
                self.timers.schedule(
                    now + action.delay_ms, lambda at: self.pending_events.append(TimerFired(token))
                )
            case SendHealthCheck():
                self.driver.check_health(action.server)
            case SendGossip():
                self.driver.send_gossip(action.payload)
            case WriteLog():
                self.driver.log("policy", text=action.text)
            case SetWatch() | FetchEndpoints() | MigrateStream():
                pass  # the watch always runs; nothing resumes here

    def _settle(self, now: float, request: OpenRequest, answer: str) -> None:
        """The request has its one final answer, or nobody is left to have it."""
        request.done = True
        request.outcome = answer
        request.answered_at = now
        self.timers.cancel(request.deadline_timer)
        self.changed_requests[request.id] = request
        self.metrics.request_finished(request.policy_request.class_index, answer)
        if self.load_shedder is not None:
            self.load_shedder.request_finished(now, answer, request.policy_request.prompt_tokens)

    def _tell(self, answer: Callable[..., None], *told: object) -> None:
        """Guards against a front whose answer fails: it loses that one answer, not the program."""
        try:
            answer(*told)
        except Exception as error:
            self.driver.log("response_dropped", error=repr(error))

    def _answerable(self, now: float, request_id: str, answer: str) -> OpenRequest | None:
        """Guards against a second final answer, and against one for a stream that has begun."""
        request = self.open_requests.get(request_id)
        if request is None or request.done or request.committed_attempt is not None:
            return None
        self._settle(now, request, answer)
        return request

    def _send(self, now: float, action: SendAttempt) -> None:
        request = self.open_requests.get(action.id)
        if request is None:
            return
        entry = self.endpoints.get(action.server)
        roles = self.settings.roles
        reading = entry is not None and entry.kind < len(roles) and roles[entry.kind] is Role.PREFILL
        stop_at = min(action.deadline_ms or request.deadline, request.deadline)
        attempt = Attempt(request, request.attempts_sent, action.server, reading, now, stop_at)
        request.attempts_sent += 1
        request.in_flight[attempt.number] = attempt
        twice = len(request.in_flight) > 1 and not self.settings.hedging_allowed
        spent = attempt.number >= self.settings.max_attempts or stop_at <= now
        if request.done or request.committed_attempt is not None or twice or spent or entry is None:
            self.attempt_finished(now, attempt, AttemptStatus.ALREADY_FINISHED)
            return
        attempt.timer = self.timers.schedule(stop_at, lambda at: self._expire(at, attempt))
        self.driver.start_attempt(attempt)

    def _hold(self, now: float, action: ReserveDecodeSlot) -> None:
        request = self.open_requests.get(action.id)
        if request is None or request.done or not self.settings.reserve_ahead:
            return
        reads = [a for a in request.in_flight.values() if a.is_prefill]
        request.reservations_in_flight += 1
        call = ReservationCall(request, action.server, reads[-1] if reads else None, request.release)
        self.driver.reserve_decode_slot(call)

    def _cancel(self, now: float, action: CancelAttempt) -> None:
        request = self.open_requests.get(action.id)
        attempt = request.in_flight.get(action.attempt) if request is not None else None
        if attempt is None or attempt.stream_started:
            return
        self.driver.abort_attempt(attempt)
        self.attempt_finished(
            now,
            attempt,
            AttemptStatus.CANCELLED if attempt.request_written else AttemptStatus.ALREADY_FINISHED,
        )

    def _release(self, now: float, request: OpenRequest) -> None:
        if request.holds_remote_state and (request.release is None or request.release.superseded):
            request.release = ReleaseCall(request, now)
            self.driver.release_state(request.release)


def may_have_run(request: OpenRequest) -> bool:
    """An attempt still out counts, since it may be written before it is withdrawn."""
    return request.may_have_run or any(not attempt.is_prefill for attempt in request.in_flight.values())


def proves_idle(status: AttemptStatus) -> bool:
    """Does this outcome prove that the server keeps nothing of the attempt?"""
    return status in (AttemptStatus.REJECTED, AttemptStatus.CONNECT_FAILED, AttemptStatus.ALREADY_FINISHED)
