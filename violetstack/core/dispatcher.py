"""The core of the dispatcher: passes events to the policy and performs the actions that it returns."""

from __future__ import annotations

from violetstack.core.attempts import AttemptManager
from violetstack.core.executed_requests import ExecutedRequests
from violetstack.core.hold_manager import HoldManager
from violetstack.core.lifecycle import RequestLifecycle
from violetstack.core.ports import (
    Driver,
    LoadShedder,
    MaxUnread,
    MigratedStream,
    Origin,
    OutlierObserver,
    Policy,
    RequestRouter,
    ResponseEvent,
    RetryAfter,
    Shed,
    Sink,
    Wake,
)
from violetstack.core.records import Attempt, OpenRequest, ReleaseCall, RequestOutcome, ReservationCall
from violetstack.core.remote_hold import HoldSummary, summarize
from violetstack.core.reservations import ReservationManager
from violetstack.core.state import DispatcherState
from violetstack.policy_api import (
    Action,
    AttemptStatus,
    CancelAttempt,
    EndpointUpdate,
    Event,
    FailRequest,
    FetchEndpoints,
    GossipReceived,
    HealthCheckResult,
    Idempotency,
    MigrateStream,
    OutlierCheckResult,
    RejectRequest,
    ReleaseState,
    Request,
    ReserveDecodeSlot,
    SendAttempt,
    SendGossip,
    SendHealthCheck,
    Settings,
    SetWatch,
    ShutdownStarted,
    StartTimer,
    TimerFired,
    WriteLog,
)


def _do_not_wake() -> None:
    """Does nothing: for a dispatcher whose caller calls `run` after each event."""


def _unchanged(retry_after_ms: float) -> float:
    return retry_after_ms


def _no_unread_time() -> float:
    return 0.0


class Dispatcher:
    """Manages the open requests of one dispatcher, between the fronts, the policy and the driver.

    Methods that need the time take it as `now`, in milliseconds of one monotonic clock. They only queue
    events; `run` passes the events to the policy.

    Attributes:
        settings: The operators' settings.
        policy: Decides what is done about events.
        driver: Performs calls to hosts.
        drain_grace_ms: How long a draining host still accepts attempts.
        open_requests: Requests by id, until no host holds anything for them.
        endpoints: Listed endpoints by host id.
        draining: Ids of hosts that are draining.
        stateless_hosts: Ids of hosts that hold no state and take no reservations or releases.
        metrics: Counters of requests.
        invariants: Checks the operators' rules and counts violations.
    """

    def __init__(
        self,
        settings: Settings,
        policy: Policy,
        driver: Driver,
        drain_grace_ms: float,
        *,
        wake: Wake = _do_not_wake,
        retry_after: RetryAfter = _unchanged,
        max_unread: MaxUnread = _no_unread_time,
        executed: ExecutedRequests | None = None,
    ) -> None:
        """Creates a dispatcher without requests and endpoints.

        Args:
            settings: The operators' settings.
            policy: Decides what is done about events.
            driver: Performs calls to hosts.
            drain_grace_ms: How long a draining host still accepts attempts.
            wake: Called when `run` has something to do.
            retry_after: Adjusts the retry time that a rejection advises.
            max_unread: Returns how long a request that is read now may have waited in its socket, in ms.
            executed: The requests that a host may have executed; None for those of this dispatcher alone.
        """
        self.settings = settings
        self.policy = policy
        self.driver = driver
        self.drain_grace_ms = drain_grace_ms
        self._max_unread = max_unread
        self._state = DispatcherState(settings, driver, wake, executed or ExecutedRequests())
        self._hold_manager = HoldManager(self._state, self._give_up_undelivered)
        self._reservations = ReservationManager(self._state, self._hold_manager)
        self._lifecycle = RequestLifecycle(self._state, self._hold_manager, retry_after)
        self._attempts = AttemptManager(self._state, self._lifecycle, self._hold_manager)
        self.open_requests = self._state.open_requests
        self.endpoints = self._state.endpoints.endpoints
        self.draining = self._state.endpoints.draining
        self.stateless_hosts = self._state.endpoints.stateless_hosts
        self.metrics = self._state.metrics
        self.invariants = self._state.invariants

    @property
    def pending_events(self) -> list[Event]:
        """Events that have not been passed to the policy yet."""
        return self._state.pending_events

    def use_router(self, router: RequestRouter) -> None:
        """Routes requests by `router` from now on."""
        self._state.router = router

    def use_load_shedder(self, load_shedder: LoadShedder) -> None:
        """Admits requests by `load_shedder` from now on."""
        self._state.load_shedder = load_shedder

    def use_outlier_observer(self, observer: OutlierObserver) -> None:
        """Reports updates of the endpoint list and the outcomes of attempts to `observer` from now on."""
        self._state.outlier_observer = observer

    # --- requests from the fronts ---

    def route(self, request: Request, origin: Origin) -> Request:
        """Returns the request with its route; each front calls this before `admit`.

        Raises:
            NotRoutedError: No route matches, or the route's policy rejects the request.
        """
        router = self._state.router
        return request if router is None else router.route(request, origin)

    def admit(self, now: float, request: Request, waited_ms: float = 0.0) -> Shed | None:
        """Decides whether the request is admitted; each front calls this right before `accept`.

        The time that the request may have waited before it was read is subtracted from its deadline.

        Args:
            now: The time.
            request: The request; its `age_ms` and `expires_in_ms` are updated.
            waited_ms: How long the request has waited as far as its connection knows.

        Returns:
            None if the request is admitted, otherwise why it is shed and when the client may retry.
        """
        request.age_ms = max(waited_ms, self._max_unread())
        request.expires_in_ms -= request.age_ms
        load_shedder = self._state.load_shedder
        shed = None if load_shedder is None else load_shedder.admit(now, request)
        if request.expires_in_ms <= 0.0:
            objective_ms = self._state.latency_objective_ms(request)
            shed = Shed("unread", min(self.settings.max_retry_after_ms, objective_ms))
        if shed is not None:
            self.metrics.request_accepted(request.class_index)
            self.metrics.request_finished(request.class_index, RequestOutcome.SHED)
        return shed

    def accept(self, now: float, request: Request, sink: Sink, payload: object) -> OpenRequest:
        """Opens a request. Its response goes to `sink`; `payload` goes to the driver with each attempt.

        Raises:
            DuplicateRequestError: A request with the same id is open.
            ReleasingRequestError: Such a request has its response, and may be repeated once it is closed.
            ExecutedRequestError: A request with the same id may have been executed, and may not be repeated.
        """
        return self._lifecycle.accept(now, request, sink, payload)

    def client_disconnected(self, now: float, request: OpenRequest) -> None:
        """Records that the client has closed its connection."""
        self._attempts.client_disconnected(now, request)

    def latency_objective_ms(self, request: Request) -> float:
        """Returns the objective for the time until the request's first token."""
        return self._state.latency_objective_ms(request)

    def max_unread_ms(self) -> float:
        """Returns how long a request that is read now may have waited in its socket."""
        return self._max_unread()

    def waiting_objective_ratios(self, now: float) -> list[float]:
        """Returns age divided by latency objective for each request that waits for its first token."""
        state = self._state
        waiting = [request for request in self.open_requests.values() if not request.has_response]
        return [
            (now - request.arrived_at) / state.latency_objective_ms(request.policy_request)
            for request in waiting
        ]

    # --- other events ---

    def update_endpoints(self, now: float, update: EndpointUpdate) -> None:
        """Applies an update of the endpoint list."""
        state = self._state
        state.endpoints.update(update)
        if state.router is not None:
            state.router.update_endpoints(now, update)
        if state.outlier_observer is not None:
            state.outlier_observer.endpoints_updated(now, update)
        state.post(update)

    def process_paused(self, now: float, pause_ms: float) -> None:
        """Records that the process did not run for `pause_ms`; the policy gets this event first."""
        self._state.post_pause(pause_ms)
        self._state.invariants.process_paused(now)

    def shutdown_started(self) -> None:
        """Tells the policy to end the open requests while there is time to answer their clients."""
        self._state.post(ShutdownStarted())

    def health_check_finished(self, result: HealthCheckResult) -> None:
        """Passes the result of a health check to the policy."""
        self._state.post(result)

    def gossip_received(self, message: GossipReceived) -> None:
        """Passes a datagram of another dispatcher to the policy."""
        self._state.post(message)

    def outlier_check_updated(self, result: OutlierCheckResult) -> None:
        """Tells the policy who checks an outlier host now, or that the check has ended."""
        self._state.post(result)

    # --- stream migration between processes ---

    def can_migrate(self, attempt: Attempt) -> bool:
        """Returns whether the attempt's stream is the only call in flight for its request."""
        return self._attempts.can_migrate(attempt)

    def stream_migrated(self, now: float, attempt: Attempt) -> None:
        """Ends the request here: another process has taken over the stream, and releases what hosts hold."""
        self._attempts.migrated(now, attempt)

    def adopt_stream(self, now: float, stream: MigratedStream, sink: Sink) -> Attempt:
        """Opens a request whose stream was started by another process."""
        return self._lifecycle.adopt(now, stream, sink)

    # --- queries and reports of the driver ---

    def may_send_to(self, server: str) -> bool:
        """Returns whether the first byte of a call may be written to the host now.

        The driver calls this in the step that writes the byte. The host may have started to drain, or may
        have been removed, since it was selected.
        """
        return self._attempts.send_guard.check_host(server) is None

    def may_reserve(self, call: ReservationCall) -> bool:
        """Returns whether the reservation may be sent now; see `SendGuard.check_reservation`."""
        return self._attempts.send_guard.check_reservation(call) is None

    def may_send(self, now: float, attempt: Attempt) -> bool:
        """Returns whether the first byte of the attempt may be written now; see `AttemptManager.may_send`."""
        return self._attempts.may_send(now, attempt)

    def may_continue_sending(self, now: float, attempt: Attempt) -> bool:
        """Returns whether more of the attempt may be written; see `AttemptManager.may_continue_sending`."""
        return self._attempts.may_continue_sending(now, attempt)

    def may_retry(self, attempt: Attempt) -> bool:
        """Returns whether another host may get the attempt's request though this one may have run it."""
        request_class = self.settings.classes[attempt.request.policy_request.class_index]
        return attempt.is_prefill or request_class.idempotency is not Idempotency.NON_IDEMPOTENT

    def connect_timeout_ms(self, now: float, attempt: Attempt) -> float:
        """Returns the timeout for connecting; see `AttemptManager.connect_timeout_ms`."""
        return self._attempts.connect_timeout_ms(now, attempt)

    def request_started(self, now: float, attempt: Attempt) -> None:
        """Records that the attempt's first byte is written in this step."""
        self._attempts.request_started(now, attempt)

    def request_written(self, now: float, attempt: Attempt) -> None:
        """Records that the last byte may have been sent; called in the step that hands it to the kernel."""
        self._attempts.request_written(now, attempt)

    def stream_started(self, now: float, attempt: Attempt) -> bool:
        """Records the first event of a response; returns False if the response is no longer needed."""
        return self._attempts.stream_started(now, attempt)

    def forward_event(self, attempt: Attempt, event: ResponseEvent) -> bool:
        """Forwards one event of the stream to the client; returns False if the front failed to."""
        return self._attempts.forward_event(attempt, event)

    def answer_spoilt(self, now: float, attempt: Attempt) -> None:
        """Records that the host's answer has an event that is not a part of one."""
        self._attempts.answer_spoilt(now, attempt)

    def attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        status: AttemptStatus,
        detail: int = 0,
        load_report: tuple[float | None, ...] | None = None,
    ) -> None:
        """Records the outcome of an attempt; see `AttemptFinished` for the arguments."""
        self._attempts.finished(now, attempt, status, detail, load_report)

    def request_invalid(self, now: float, attempt: Attempt) -> None:
        """Fails a request that a host reports as invalid."""
        self._attempts.request_invalid(now, attempt)

    def reservation_written(self, now: float, call: ReservationCall) -> None:
        """Records that the last byte of a reservation is handed to the kernel in this step."""
        self._reservations.written(now, call)

    def reservation_finished(
        self, now: float, call: ReservationCall, reserved: bool | None, nothing_reserved: bool
    ) -> None:
        """Records the result of a reservation; see `ReservationManager.finished`."""
        self._reservations.finished(now, call, reserved, nothing_reserved)

    def release_finished(self, now: float, call: ReleaseCall, done: bool) -> None:
        """Records the end of a release; `done` is False if the driver has given it up."""
        self._hold_manager.release_finished(now, call, done)

    def hold_summary(self, now: float) -> HoldSummary:
        """Returns how many open requests hosts may hold something for, and for how long it is unclaimed."""
        return summarize((request.hold for request in self.open_requests.values()), now)

    def _give_up_undelivered(self, now: float, attempt: Attempt) -> None:
        self._attempts.give_up_undelivered(now, attempt)

    # --- the event loop ---

    def next_due(self) -> float:
        """Returns the time of the next timer; infinite if there is none."""
        return self._state.timers.next_due()

    def run(self, now: float) -> None:
        """Runs the timers that are due, then the policy until no event or changed request is left."""
        state = self._state
        state.timers.run(now)
        while state.pending_events or state.changed_requests:
            events = state.take_events()
            if events:
                for action in self._decide(now, events):
                    self._try_action(now, action)
            for request in state.take_changed():
                self._try_clean_up(now, request)

    def _try_clean_up(self, now: float, request: OpenRequest) -> None:
        """Cleans up one request; an exception does not affect the clean-up of other requests."""
        try:
            self._attempts.abort_unsent_attempts(now, request)
            self._lifecycle.clean_up(now, request)
        except Exception as error:
            self.driver.log("clean_up_failed", id=request.id, error=repr(error))

    def _decide(self, now: float, events: list[Event]) -> list[Action]:
        """Runs the policy; if it raises, the requests that it leaves open fail at their deadlines."""
        try:
            return self.policy.handle(now, events)
        except Exception as error:
            self.driver.log("policy_failed", error=repr(error))
            return []

    def _try_action(self, now: float, action: Action) -> None:
        try:
            self._perform(now, action)
        except Exception as error:
            self.driver.log("action_failed", action=repr(action), error=repr(error))

    def _perform(self, now: float, action: Action) -> None:
        match action:
            case SendAttempt() | ReserveDecodeSlot() | ReleaseState() | CancelAttempt():
                request = self.open_requests.get(action.id)
                if request is not None:
                    self._perform_for_request(now, request, action)
            case RejectRequest():
                self._lifecycle.reject(now, action.id, action.retry_after_ms)
            case FailRequest():
                self._lifecycle.fail(now, action.id)
            case StartTimer():
                fired = TimerFired(action.token)
                self._state.timers.schedule(
                    now + action.delay_ms, lambda _now: self._state.pending_events.append(fired)
                )
            case SendHealthCheck():
                self.driver.check_health(action.server)
            case SendGossip():
                self.driver.send_gossip(action.payload)
            case WriteLog():
                self.driver.log("policy", text=action.text)
            case SetWatch() | FetchEndpoints() | MigrateStream():
                pass  # this process always watches the endpoint list, and resumes no streams at other hosts

    def _perform_for_request(
        self,
        now: float,
        request: OpenRequest,
        action: SendAttempt | ReserveDecodeSlot | ReleaseState | CancelAttempt,
    ) -> None:
        match action:
            case SendAttempt():
                self._attempts.send(now, request, action.server, action.deadline_ms)
            case ReserveDecodeSlot():
                if not request.done and self.settings.reserve_ahead:
                    self._reservations.reserve(request, action.server)
            case ReleaseState():
                self._hold_manager.release(now, request)
            case CancelAttempt():
                attempt = request.in_flight.get(action.attempt)
                if attempt is not None:
                    self._attempts.cancel(now, attempt)
