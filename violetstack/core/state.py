"""What the parts of the dispatcher share."""

from __future__ import annotations

from collections.abc import Callable

from violetstack.core.endpoint_table import EndpointTable
from violetstack.core.invariants import InvariantChecker
from violetstack.core.metrics import RequestMetrics
from violetstack.core.ports import Driver, LoadShedder, OutlierObserver, RequestRouter, Wake
from violetstack.core.records import OpenRequest
from violetstack.core.timers import Timers
from violetstack.policy_api import EndpointUpdate, Event, ProcessPaused, Request, Settings

MIN_LATENCY_OBJECTIVE_MS = 1.0  # it is divided by


class DispatcherState:
    """The open requests, the events for the policy, and the ports.

    Attributes:
        settings: The operators' settings.
        driver: Carries out calls against hosts.
        endpoints: The endpoint list.
        timers: Deadlines and the policy's timers.
        metrics: Counters of requests.
        invariants: Checks the operators' rules.
        open_requests: Requests by id, until no host holds anything for them.
        pending_events: Events that the policy has not seen yet, in the order of their arrival.
        changed_requests: Requests that may be ready to be released or closed, by id.
        router: Assigns routes, if there are any.
        load_shedder: Limits what is accepted, if it is configured.
        outlier_observer: Observes the health of hosts, if it is configured.
        wake: Makes the event loop run the dispatcher soon.
    """

    def __init__(self, settings: Settings, driver: Driver, wake: Wake) -> None:
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

    def post(self, event: Event) -> None:
        """Queues an event for the policy and wakes the event loop."""
        self.pending_events.append(event)
        self.wake()

    def post_pause(self, pause_ms: float) -> None:
        """Queues a pause of the process ahead of the events that arrived in it.

        The policy has to see the pause first and then the endpoint list, whichever socket was read first;
        otherwise it would decide on what it knew before the pause.
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
        """Has the request looked at by the next `RequestLifecycle.clean_up`."""
        self.changed_requests[request.id] = request

    def take_changed(self) -> list[OpenRequest]:
        """Returns the changed requests and forgets that they changed."""
        changed = list(self.changed_requests.values())
        self.changed_requests = {}
        return changed

    def notify(self, call: Callable[..., None], *arguments: object) -> None:
        """Calls a method of a front's sink. If it raises, only this one response is lost, and logged."""
        try:
            call(*arguments)
        except Exception as error:
            self.driver.log("response_dropped", error=repr(error))

    def observe_attempt(self, server: str, now: float, *, succeeded: bool) -> None:
        """Tells the outlier observer how an attempt went at a host."""
        if self.outlier_observer is not None:
            self.outlier_observer.attempt_observed(now, server, succeeded)

    def latency_objective_ms(self, request: Request) -> float:
        """Returns the time within which the request's first token is wanted."""
        spec = self.settings.classes[request.class_index]
        for_prompt = spec.objective_ms_per_1000_tokens * request.prompt_tokens / 1000.0
        for_answer = spec.objective_stretch * (request.expected_answer_ms or 0.0)
        return max(MIN_LATENCY_OBJECTIVE_MS, spec.latency_objective_ms + for_prompt + for_answer)
