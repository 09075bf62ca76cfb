"""The entry point of the policy: takes events and returns actions; clock and seed are parameters."""

from __future__ import annotations

from violetstack.policy.admission import Admission
from violetstack.policy.decode_slots import DecodeSlots
from violetstack.policy.endpoint_changes import EndpointChanges
from violetstack.policy.freeness import Freeness
from violetstack.policy.outliers import OutlierDetection
from violetstack.policy.placement import Placement
from violetstack.policy.request_lifecycle import RequestLifecycle
from violetstack.policy_api import (
    Action,
    AttemptFinished,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    GossipReceived,
    HealthCheckResult,
    OutlierCheckResult,
    ProcessPaused,
    Request,
    ReservationResult,
    Settings,
    ShutdownStarted,
    StreamStarted,
    TimerFired,
    UpdateScope,
)
from violetstack.tracking import timer_tokens
from violetstack.tracking.endpoint_watch import EndpointWatch
from violetstack.tracking.gossip_sender import GossipSender
from violetstack.tracking.health_checks import HealthChecks
from violetstack.tracking.in_flight import InFlightTracker
from violetstack.tracking.state import PolicyState


class Router:
    """The policy of one dispatcher.

    Attributes:
        state: the policy's state; its learned part is handed over to a successor process.
        freeness: computes the hosts' freeness.
        admission: decides what may be sent.
        outliers: tracks endpoints that failed recently.
    """

    def __init__(self, settings: Settings) -> None:
        """Starts without requests and endpoints."""
        self.state = PolicyState(settings)
        self.freeness = Freeness(self.state)
        self.admission = Admission(self.state)
        self._gossip = GossipSender(self.state)
        self._watch = EndpointWatch(self.state)
        self._health_checks = HealthChecks(self.state)
        tracker = InFlightTracker(self.state, self._gossip)
        placement = Placement(self.state, self.freeness, self.admission)
        slots = DecodeSlots(self.state, placement, tracker)
        self.outliers = OutlierDetection(self.state, self._gossip)
        self._endpoint_changes = EndpointChanges(self.state, slots, tracker)
        self._lifecycle = RequestLifecycle(
            self.state,
            admission=self.admission,
            placement=placement,
            slots=slots,
            outliers=self.outliers,
            tracker=tracker,
        )
        self._started = False

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        """Returns the actions for a batch of events; `now` is in milliseconds of a monotonic clock."""
        self.state.begin_batch(now)
        if not self._started:
            self._started = True
            self._watch.start()
            self._health_checks.start()
            self._gossip.announce_start()
        for event in events:
            self._dispatch(event)
        return self.state.end_batch()

    def _dispatch(self, event: Event) -> None:
        match event:
            case Request() | AttemptFinished() | StreamStarted() | ReservationResult() | ClientDisconnected():
                self._lifecycle.handle(event)
            case TimerFired():
                self._on_timer(event)
            case EndpointUpdate(scope=UpdateScope.FAILED):
                self._watch.on_failure()
            case EndpointUpdate():
                self._endpoint_changes.on_update(event)
            case HealthCheckResult():
                self._health_checks.on_result(event)
            case GossipReceived():
                self.outliers.on_gossip(event)
            case ProcessPaused():
                self.state.begin_after_pause(event.pause_ms)
                self._gossip.restart()
            case OutlierCheckResult():
                self.outliers.on_outlier_check(event)
            case ShutdownStarted():
                self._lifecycle.on_shutdown()

    def _on_timer(self, event: TimerFired) -> None:
        token = timer_tokens.decode(event.token)
        match token.kind:
            case timer_tokens.WATCH_RETRY:
                self._watch.restart()
            case timer_tokens.HEALTH_CHECK:
                self._health_checks.send_next()
            case timer_tokens.GOSSIP:
                self._gossip.send_changes()
            case timer_tokens.PREFILL_CUTOFF:
                self._lifecycle.on_cutoff(token.request_id)
            case timer_tokens.FINAL_ANSWER:
                self._lifecycle.on_deadline(token.request_id)
