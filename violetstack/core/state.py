"""The state that the components of the dispatcher share."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.core.endpoint_table import EndpointTable
from violetstack.core.executed_requests import ExecutedRequests
from violetstack.core.invariants import InvariantChecker
from violetstack.core.metrics import RequestMetrics
from violetstack.core.ports import Driver, LoadShedder, OutlierObserver, RequestRouter, Wake
from violetstack.core.records import OpenRequest
from violetstack.core.timers import Timers
from violetstack.policy_api import EndpointUpdate, Event, Idempotency, ProcessPaused, Request, Settings

MIN_LATENCY_OBJECTIVE_MS = 1.0  # avoids a division by zero


class DispatcherState:
    """The open requests, the queued events for the policy, and the interfaces to other parts.

    Attributes:
        settings: The operators' settings.
        driver: Performs calls to hosts.
        endpoints: The endpoint list.
        timers: Deadlines and the policy's timers.
        metrics: Counters of requests by class.
        invariants: Checks the operators' rules.
        open_requests: Requests by id, until no host holds anything for them.
        pending_events: Events that have not been passed to the policy yet, in the order of their arrival.
        changed_requests: Requests by id that have changed and may be ready for clean-up.
        router: Assigns routes; None if no routes are configured.
        load_shedder: Limits which requests are accepted; None if it is not configured.
        outlier_observer: Observes the health of hosts; None if it is not configured.
        executed: The requests that a host may have executed, also those of earlier processes.
        wake: Makes the event loop call `Dispatcher.run` soon.
    """

    def __init__(self, settings: Settings, driver: Driver, wake: Wake, executed: ExecutedRequests) -> None:
        """Creates the state of a dispatcher without requests."""
        self.settings = settings
        self.driver = driver
        self.endpoints = EndpointTable(settings)
        self.timers = Timers()
        self.metrics = RequestMetrics(len(settings.classes))
        self.invariants = InvariantChecker(settings, driver.log)
        self.open_requests: dict[str, OpenRequest] = {}
        self.pending_events: list[Event] = []
        self.changed_requests: dict[str, OpenRequest] = {}
        self.router: RequestRouter | None = None
        self.load_shedder: LoadShedder | None = None
        self.outlier_observer: OutlierObserver | None = None
        self.wake = wake
        self.executed = executed

    def may_repeat(self, request: Request) -> bool:
        """Returns whether a request of this class may be executed again at any time."""
        return self.settings.classes[request.class_index].idempotency is Idempotency.IDEMPOTENT

    def post(self, event: Event) -> None:
        """Queues an event for the policy and wakes the event loop."""
        self.pending_events.append(event)
        self.wake()

    def post_pause(self, pause_ms: float) -> None:
        """Queues a pause of the process before the events that arrived during the pause.

        The policy has to see the pause first and the endpoint list second, whichever socket was read first;
        otherwise its decisions would rely on the endpoints from before the pause.
        """
        updates = [event for event in self.pending_events if isinstance(event, EndpointUpdate)]
        others = [event for event in self.pending_events if not isinstance(event, EndpointUpdate)]
        self.pending_events = [ProcessPaused(pause_ms), *updates, *others]
        self.wake()

    def take_events(self) -> list[Event]:
        """Returns the queued events and empties the queue."""
        events = self.pending_events
        self.pending_events = []
        return events

    def mark_changed(self, request: OpenRequest) -> None:
        """Marks the request for `RequestLifecycle.clean_up` in the next iteration."""
        self.changed_requests[request.id] = request

    def take_changed(self) -> list[OpenRequest]:
        """Returns the changed requests and empties their list."""
        changed = list(self.changed_requests.values())
        self.changed_requests = {}
        return changed

    def notify(self, call: Callable[..., None], *arguments: object) -> bool:
        """Calls a method of a front's sink; an exception is logged, and False is returned after it."""
        try:
            call(*arguments)
        except Exception as error:  # of any kind: it must not affect other requests
            self.driver.log("response_dropped", error=repr(error))
            return False
        return True

    def observe_attempt(self, server: str, now: float, *, succeeded: bool) -> None:
        """Tells the outlier observer whether an attempt succeeded at a host."""
        if self.outlier_observer is not None:
            self.outlier_observer.attempt_observed(now, server, succeeded)

    def latency_objective_ms(self, request: Request) -> float:
        """Returns the objective for the time until the request's first token."""
        spec = self.settings.classes[request.class_index]
        for_prompt = spec.objective_ms_per_1000_tokens * request.prompt_tokens / 1000.0
        for_answer = spec.objective_stretch * (request.expected_answer_ms or 0.0)
        return max(MIN_LATENCY_OBJECTIVE_MS, spec.latency_objective_ms + for_prompt + for_answer)
