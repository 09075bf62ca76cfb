"""The state that is shared by all parts of the policy."""

from __future__ import annotations

import random

from violetstack.estimation.statistics import FleetStatistics
from violetstack.gossip import GossipState
from violetstack.policy_api import Action, Settings
from violetstack.shared.rate_limit import tenant_quota
from violetstack.tracking.endpoint_set import EndpointSet
from violetstack.tracking.load import LoadEstimator
from violetstack.tracking.request import RequestState


class PolicyState:
    """The policy's state, and the actions for the current batch of events.

    Attributes:
        settings: the dispatcher's settings.
        rng: the only source of randomness, seeded by the settings.
        now: time of the current batch, in milliseconds.
        pause_ms: length of a pause of the process right before the batch; 0 if there was none.
        requests: open requests, by id.
        endpoints: this dispatcher's records of the listed endpoints.
        statistics: statistics over all endpoints.
        remote_load: the load that the other dispatchers reported.
        load: estimates of load, from the attributes above.
        tenant_quotas: quota of each tenant at this dispatcher, by its index.
        shortest_objective_ms: latency objective of the most demanding class, for an empty prompt.
    """

    def __init__(self, settings: Settings) -> None:
        """Starts without requests and endpoints."""
        self.settings = settings
        self.rng = random.Random(settings.seed)
        self.now = 0.0
        self.pause_ms = 0.0
        self.requests: dict[str, RequestState] = {}
        self.endpoints = EndpointSet(settings, self.rng)
        self.statistics = FleetStatistics(settings)
        self.remote_load = GossipState(
            max((spec.client_timeout_ms for spec in settings.classes), default=0.0)
        )
        self.load = LoadEstimator(settings, self.endpoints, self.statistics, self.remote_load)
        self.tenant_quotas = {
            index: tenant_quota(tenant, settings) for index, tenant in enumerate(settings.tenants)
        }
        objectives_ms = (class_settings.latency_objective_ms for class_settings in settings.classes)
        self.shortest_objective_ms = min(objectives_ms, default=0.0)
        self._actions: list[Action] = []

    def begin_batch(self, now: float) -> None:
        """Starts a batch of events."""
        self.now = now
        self.pause_ms = 0.0
        self._actions = []
        self.remote_load.expire(now)

    def begin_after_pause(self, pause_ms: float) -> None:
        """Forgets the others' load after a pause of the process, and excludes attempts that span it."""
        self.pause_ms = pause_ms
        for request in self.requests.values():
            for attempt in request.in_flight.values():
                attempt.spans_pause = True
        self.remote_load.clear()

    def act(self, action: Action) -> None:
        """Adds an action to the batch."""
        self._actions.append(action)

    def end_batch(self) -> list[Action]:
        """Returns the actions of the batch, in the order in which they were decided."""
        return self._actions
