"""The faults of a campaign: what clients, hosts, processes and discovery do, and which pairs are to meet."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import product

import trio


class RequestStage(Enum):
    """How far a request has come when its client acts."""

    SENDING_HEAD = "head in pieces"
    QUEUED = "queued in the kernel"
    WAITING = "waiting"
    PREFILL_IN_FLIGHT = "prefill in flight"
    BETWEEN_PREFILL_AND_DECODE = "between prefill and decode"
    DECODE_IN_FLIGHT = "decode in flight"
    STREAMING = "streaming"


class DisconnectMethod(Enum):
    """How a client leaves."""

    CLOSE = "close"
    HALF_CLOSE = "half-close"
    RESET = "reset"


class ClientBehaviour(Enum):
    """How a client writes its request."""

    PLAIN = "plain"
    SENDS_IN_FRAGMENTS = "in pieces"
    LARGE_BODY = "large body"
    PIPELINES_READY_REQUESTS = "pipelined"
    CONNECTS_EARLY = "connects early"
    SENDS_REQUEST_DURING_STREAM = "sends again while its stream goes on"
    SENDS_HALF_REQUEST_DURING_STREAM = "sends half a request while its stream goes on"
    SENDS_NEXT_REQUEST_AT_ONCE = "asks again right behind the end"


SENDS_DURING_STREAM = frozenset(
    {ClientBehaviour.SENDS_REQUEST_DURING_STREAM, ClientBehaviour.SENDS_HALF_REQUEST_DURING_STREAM}
)
"""Habits of clients that write on a connection whose stream goes on."""
SLOW_READER_SHARE = 0.3
FAULT_FREE_BEHAVIOURS = (
    ClientBehaviour.PLAIN,
    ClientBehaviour.PLAIN,
    ClientBehaviour.PLAIN,
    ClientBehaviour.PLAIN,
    ClientBehaviour.SENDS_REQUEST_DURING_STREAM,
    ClientBehaviour.SENDS_HALF_REQUEST_DURING_STREAM,
    ClientBehaviour.SENDS_NEXT_REQUEST_AT_ONCE,
    ClientBehaviour.SENDS_NEXT_REQUEST_AT_ONCE,
)
"""Of clients whose requests meet no fault of their own."""
LONG_STREAM_SHARE = 0.5


class HostFault(Enum):
    """What a host does to an attempt."""

    NONE = "none"
    SLOW = "slow"
    DECLINE = "decline"
    ERROR = "error"
    HANG = "hang"
    RESET_WHILE_READING = "reset while reading"
    STALL_WHILE_READING = "stall while reading"
    RESET_BEFORE_EVENT = "reset before the first event"
    CLOSE_BEFORE_EVENT = "close before the first event"
    RESET_AFTER_EVENT = "reset after the first event"
    HANG_AFTER_EVENT = "hang after the first event"
    SECOND_RESPONSE = "second response"
    MALFORMED_HEAD = "spoilt head"
    MALFORMED_CHUNK = "spoilt stream"
    ENDLESS_HEAD = "endless head"
    ENDLESS_CHUNK = "endless chunk"
    STATE_GONE = "state gone"
    CLOSE_AFTER_RESPONSE = "close after the response"
    LONG_STREAM = "long stream"


class EnvironmentFault(Enum):
    """What befalls a dispatcher's process, a host as a whole, or discovery, while requests go on."""

    HOST_REFUSES = "host refuses"
    HOST_CONNECTS_LATE = "host connects late"
    HOST_NEVER_CONNECTS = "host never connects"
    HOST_DRAINS = "host drains"
    DISCOVERY_SILENT = "discovery silent"
    DISCOVERY_LATE = "discovery late"
    DISCOVERY_RESET = "discovery reset"
    DISCOVERY_COMPLETE_LISTS = "discovery complete lists"
    SIGTERM = "SIGTERM"
    SIGHUP = "SIGHUP"
    SIGSTOP_SHORT = "SIGSTOP 0.3 s"
    SIGSTOP_LONG = "SIGSTOP 1.2 s"
    SIGSTOP_OVER_STREAM_TIMEOUT = "SIGSTOP 4.6 s"
    SIGKILL = "SIGKILL"
    DESCRIPTORS_FULL = "descriptors full"


STREAM_FAULTS = frozenset(
    {
        HostFault.RESET_AFTER_EVENT,
        HostFault.HANG_AFTER_EVENT,
        HostFault.MALFORMED_CHUNK,
        HostFault.ENDLESS_CHUNK,
    }
)
"""The stream that the client gets is not complete."""

DISCONNECT_DELAYS_S = (0.0, 0.0, 0.0, 0.001, 0.004, 0.015, 0.06)
"""Between a stage and the client's end."""
ClientDisconnect = tuple[RequestStage, DisconnectMethod]
CLIENT_DISCONNECTS: tuple[ClientDisconnect, ...] = tuple(product(RequestStage, DisconnectMethod))
FAULT_FREE_SHARE = 0.45
"""Of requests that meet no fault of their own: they are to be served beside the others."""
CLIENT_DISCONNECT_SHARE = 0.5
FURTHER_FAULT_SHARE = 0.3


@dataclass
class RequestScript:
    """What befalls one request, and how far it has come.

    Attributes:
        host_faults: By attempt number at hosts, prefills included; later attempts meet none.
        reached: Set by the host or client that takes the request to the stage.
        occurred_faults: Names of the faults that took place.
        reads_slowly: The client takes little at a time, and its stream is longer.
        second_request_delay_s: After the first event, until it writes on the connection again.
    """

    client_disconnect: ClientDisconnect | None
    behaviour: ClientBehaviour
    host_faults: tuple[HostFault, ...]
    disconnect_delay_s: float
    reached: dict[RequestStage, trio.Event] = field(
        default_factory=lambda: {stage: trio.Event() for stage in RequestStage}
    )
    occurred_faults: set[str] = field(default_factory=set)
    attempts_begun: int = 0
    reads_slowly: bool = False
    second_request_delay_s: float = 0.0

    def next_host_fault(self) -> HostFault:
        """The fault of the attempt that begins now."""
        number = self.attempts_begun
        self.attempts_begun += 1
        return self.host_faults[number] if number < len(self.host_faults) else HostFault.NONE

    def reach(self, stage: RequestStage) -> None:
        self.reached[stage].set()


@dataclass(frozen=True)
class EnvironmentEvent:
    """A fault of the environment, `target` being a dispatcher's or a host's number."""

    at: float
    duration_s: float
    fault: EnvironmentFault
    target: int


def client_disconnect_name(disconnect: ClientDisconnect) -> str:
    stage, method = disconnect
    return f"client {method.value}, {stage.value}"


class ScriptSource:
    """Draws the scripts of a case's requests; client ends and host faults are paired in a fixed rotation."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"scripts {seed}")
        pairs = list(product(CLIENT_DISCONNECTS, [each for each in HostFault if each is not HostFault.NONE]))
        random.Random("pairs").shuffle(pairs)
        self._pairs: Sequence[tuple[ClientDisconnect, HostFault]] = pairs
        self._next = seed * 31 % len(pairs)

    def draw(self) -> RequestScript:
        rng = self._rng
        if rng.random() < FAULT_FREE_SHARE:
            return self._draw_fault_free()
        disconnect, fault = self._pairs[self._next % len(self._pairs)]
        self._next += 1
        behaviour = rng.choice((ClientBehaviour.PLAIN, ClientBehaviour.PLAIN, *ClientBehaviour))
        return RequestScript(
            client_disconnect=disconnect if rng.random() < CLIENT_DISCONNECT_SHARE else None,
            behaviour=behaviour,
            host_faults=self._draw_host_faults(fault),
            disconnect_delay_s=rng.choice(DISCONNECT_DELAYS_S),
            reads_slowly=rng.random() < SLOW_READER_SHARE,
            second_request_delay_s=rng.random(),
        )

    def _draw_fault_free(self) -> RequestScript:
        """No fault of its own; some clients go on with the connection, and some of their streams are long."""
        rng = self._rng
        behaviour = rng.choice(FAULT_FREE_BEHAVIOURS)
        long_stream = behaviour is not ClientBehaviour.PLAIN and rng.random() < LONG_STREAM_SHARE
        return RequestScript(
            client_disconnect=None,
            behaviour=behaviour,
            host_faults=(HostFault.LONG_STREAM, HostFault.LONG_STREAM) if long_stream else (),
            disconnect_delay_s=0.0,
            reads_slowly=rng.random() < SLOW_READER_SHARE,
            second_request_delay_s=rng.random(),
        )

    def _draw_host_faults(self, fault: HostFault) -> tuple[HostFault, ...]:
        """At the first attempt (a prefill, if there are prefill hosts) or the second, and often at others."""
        rng = self._rng
        others = [each for each in HostFault if each is not HostFault.SLOW]
        faults = [HostFault.NONE] * rng.randint(0, 1) + [fault]
        while rng.random() < FURTHER_FAULT_SHARE:
            faults.append(rng.choice(others))
        return tuple(faults)


FAULT_DURATIONS_S = {
    EnvironmentFault.SIGSTOP_SHORT: 0.3,
    EnvironmentFault.SIGSTOP_LONG: 1.2,
    EnvironmentFault.SIGSTOP_OVER_STREAM_TIMEOUT: 4.6,
    EnvironmentFault.SIGKILL: 0.1,
    EnvironmentFault.DESCRIPTORS_FULL: 1.5,
    EnvironmentFault.HOST_CONNECTS_LATE: 0.5,
}
DEFAULT_FAULT_DURATION_S = 1.5


def draw_environment(seed: int, duration_s: float, dispatchers: int, hosts: int) -> list[EnvironmentEvent]:
    """One to three faults, in a rotation by the seed so that every pair of them comes up."""
    rng = random.Random(f"environment {seed}")
    faults = list(EnvironmentFault)
    first = faults[seed % len(faults)]
    second = faults[(seed + 1 + seed // len(faults)) % len(faults)]
    chosen = [first, second] + ([rng.choice(faults)] if rng.random() < 0.4 else [])
    events = []
    at = 0.3 + rng.random() * 0.5
    for fault in chosen[: max(1, min(3, int(duration_s)))]:
        targets_dispatcher = not fault.name.startswith("HOST")
        target = rng.randrange(dispatchers if targets_dispatcher else hosts)
        events.append(
            EnvironmentEvent(at, FAULT_DURATIONS_S.get(fault, DEFAULT_FAULT_DURATION_S), fault, target)
        )
        at += rng.choice((0.0, 0.15, 0.6))
    return events
