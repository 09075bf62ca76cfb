"""The dispatcher's core: passes events to the policy and carries out the actions that it returns."""

from __future__ import annotations

from violetstack.core.attempts import AttemptManager
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
    """For a dispatcher whose caller runs it after each event."""


def _unchanged(retry_after_ms: float) -> float:
    return retry_after_ms


def _no_unread_time() -> float:
    return 0.0


class Dispatcher:
    """Owns one dispatcher's open requests, between the fronts, the policy and the driver.

    Every method that needs the time takes it, in milliseconds of one monotonic clock. Methods only queue
    events; `run` has the policy decide on them.

    Attributes:
        settings: The operators' settings.
        policy: Decides on events.
        driver: Carries out calls against hosts.
        drain_grace_ms: How long a host that drains still accepts attempts.
        open_requests: Requests by id, until no host holds anything for them.
        endpoints: Listed endpoints by host id.
        draining: Ids of hosts that are draining.
        stateless_hosts: Ids of hosts that hold no state and take no reservations or releases.
        metrics: Counters of requests.
        invariants: Checks the operators' rules, and counts violations.
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
    ) -> None:
        """Creates a dispatcher without requests and endpoints.

        Args:
            settings: The operators' settings.
            policy: Decides on events.
            driver: Carries out calls against hosts.
            drain_grace_ms: How long a host that drains still accepts attempts.
            wake: Called when there is something to `run` for.
            retry_after: Adjusts the advice of a rejection.
            max_unread: Tells how long a request that is read now may have waited in its socket.
        """
        self.settings = settings
        self.policy = policy
        self.driver = driver
        self.drain_grace_ms = drain_grace_ms
        self._max_unread = max_unread
        self._state = DispatcherState(settings, driver, wake)
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
        """Events that the policy has not seen yet."""
        return self._state.pending_events

    def use_router(self, router: RequestRouter) -> None:
        """Has requests routed by `router` from now on."""
        self._state.router = router

    def use_load_shedder(self, load_shedder: LoadShedder) -> None:
        """Has requests admitted by `load_shedder` from now on."""
        self._state.load_shedder = load_shedder

    def use_outlier_observer(self, observer: OutlierObserver) -> None:
        """Reports the endpoint list and the outcomes of attempts to `observer` from now on."""
        self._state.outlier_observer = observer

    # --- requests, from the fronts ---

    def route(self, request: Request, origin: Origin) -> Request:
        """Returns the request with its route; every front calls this before `admit`.

        Raises:
            NotRoutedError: No route matches, or the route's policy rejects the request.
        """
        router = self._state.router
        return request if router is None else router.route(request, origin)

    def admit(self, now: float, request: Request, waited_ms: float = 0.0) -> Shed | None:
        """Returns None to admit the request; every front calls this right before `accept`.

        The time that the request may have waited before it was taken up counts as part of its deadline.

        Args:
            now: The time.
            request: The request; its age and what is left of its deadline are set.
            waited_ms: How long its connection knows it to have waited.
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
        """
        return self._lifecycle.accept(now, request, sink, payload)

    def client_disconnected(self, now: float, request: OpenRequest) -> None:
        """The client has closed its connection."""
        self._attempts.client_disconnected(now, request)

    def latency_objective_ms(self, request: Request) -> float:
        """Returns the time within which the request's first token is wanted."""
        return self._state.latency_objective_ms(request)

    def max_unread_ms(self) -> float:
        """Returns how long what is read now may have waited in its socket."""
        return self._max_unread()

    def waiting_objective_ratios(self, now: float) -> list[float]:
        """Returns the ages of the requests without a first token, each divided by its latency objective."""
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
            state.outlier_observer.endpoints_listed(now, self.endpoints)
        state.post(update)

    def process_paused(self, now: float, pause_ms: float) -> None:
        """The process did not run for `pause_ms`; the policy learns this before anything else."""
        self._state.post_pause(pause_ms)
        self._state.invariants.process_paused(now)

    def shutdown_started(self) -> None:
        """The process is about to end: the policy ends requests while their clients can be answered."""
        self._state.post(ShutdownStarted())

    def health_check_finished(self, result: HealthCheckResult) -> None:
        """A health check ended."""
        self._state.post(result)

    def gossip_received(self, message: GossipReceived) -> None:
        """Another dispatcher sent a datagram."""
        self._state.post(message)

    def outlier_check_updated(self, result: OutlierCheckResult) -> None:
        """The check of an outlier host changed hands or ended."""
        self._state.post(result)

    # --- streams that move to another process ---

    def can_migrate(self, attempt: Attempt) -> bool:
        """Returns whether the attempt's stream is all that is in flight for its request."""
        return self._attempts.can_migrate(attempt)

    def stream_migrated(self, now: float, attempt: Attempt) -> None:
        """Another process took over the stream, and will release what hosts hold for its request."""
        self._attempts.migrated(now, attempt)

    def adopt_stream(self, now: float, stream: MigratedStream, sink: Sink) -> Attempt:
        """Opens a request whose stream another process began."""
        return self._lifecycle.adopt(now, stream, sink)

    # --- what the driver asks and reports ---

    def may_send_to(self, server: str) -> bool:
        """Returns whether a first byte may be written to the host now; asked in the step that writes it.

        The host may have been listed as draining, or removed, since it was chosen.
        """
        return self._attempts.send_guard.check_host(server) is None

    def may_reserve(self, call: ReservationCall) -> bool:
        """Returns whether a slot may be asked for now; see `SendGuard.check_reservation`."""
        return self._attempts.send_guard.check_reservation(call) is None

    def may_send(self, now: float, attempt: Attempt) -> bool:
        """Returns whether the first byte of the attempt may be written now; see `Attempts.may_send`."""
        return self._attempts.may_send(now, attempt)

    def may_continue_sending(self, now: float, attempt: Attempt) -> bool:
        """Returns whether a part of the attempt may be written; see `Attempts.may_continue_sending`."""
        return self._attempts.may_continue_sending(now, attempt)

    def connect_timeout_ms(self, now: float, attempt: Attempt) -> float:
        """Returns how long the connection of an attempt may take to come up."""
        return self._attempts.connect_timeout_ms(now, attempt)

    def request_started(self, now: float, attempt: Attempt) -> None:
        """The first byte of the attempt is written in this step."""
        self._attempts.request_started(now, attempt)

    def request_written(self, now: float, attempt: Attempt) -> None:
        """The last byte of the attempt may have left; called in the step that hands it to the kernel."""
        self._attempts.request_written(now, attempt)

    def stream_started(self, now: float, attempt: Attempt) -> bool:
        """The first event of a response came; returns False if it is not wanted any more."""
        return self._attempts.stream_started(now, attempt)

    def forward_event(self, attempt: Attempt, data: memoryview) -> None:
        """Forwards one event of the stream to the client."""
        self._attempts.forward_event(attempt, data)

    def attempt_finished(
        self,
        now: float,
        attempt: Attempt,
        status: AttemptStatus,
        detail: int = 0,
        load_report: tuple[float | None, ...] | None = None,
    ) -> None:
        """Reports the one outcome of an attempt; see `AttemptFinished` for the arguments."""
        self._attempts.finished(now, attempt, status, detail, load_report)

    def request_invalid(self, now: float, attempt: Attempt) -> None:
        """A host says that the request itself is at fault."""
        self._attempts.request_invalid(now, attempt)

    def reservation_written(self, now: float, call: ReservationCall) -> None:
        """The last byte of a reservation is handed to the kernel in this step."""
        self._reservations.written(now, call)

    def reservation_finished(
        self, now: float, call: ReservationCall, reserved: bool | None, nothing_reserved: bool
    ) -> None:
        """A reservation ended; see `Reservations.finished`."""
        self._reservations.finished(now, call, reserved, nothing_reserved)

    def release_finished(self, now: float, call: ReleaseCall, done: bool) -> None:
        """A release ended, or was given up if not `done`."""
        self._hold_manager.release_finished(now, call, done)

    def hold_summary(self, now: float) -> HoldSummary:
        """Counts what hosts may hold for open requests."""
        return summarize((request.hold for request in self.open_requests.values()), now)

    def _give_up_undelivered(self, now: float, attempt: Attempt) -> None:
        self._attempts.give_up_undelivered(now, attempt)

    # --- the policy's turn ---

    def next_due(self) -> float:
        """Returns the time of the next timer; infinite if there is none."""
        return self._state.timers.next_due()

    def run(self, now: float) -> None:
        """Runs the timers that are due, then the policy, until nothing is left to decide."""
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
        """A failure over one request costs no other its clean-up."""
        try:
            self._attempts.abort_unsent_attempts(now, request)
            self._lifecycle.clean_up(now, request)
        except Exception as error:
            self.driver.log("clean_up_failed", id=request.id, error=repr(error))

    def _decide(self, now: float, events: list[Event]) -> list[Action]:
        """If the policy raises, requests that it leaves open fail at their deadlines; the process goes on."""
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
                pass  # this program always watches the list, and resumes no stream at another host

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
