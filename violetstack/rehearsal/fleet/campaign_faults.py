"""The faults of the campaign, by clients, hosts, processes and discovery, and the drawing of their pairs."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from itertools import product

import trio


class RequestStage(Enum):
    """How far a request has come when its client disconnects."""

    SENDING_HEAD = "head in pieces"
    QUEUED = "queued in the kernel"
    WAITING = "waiting"
    PREFILL_IN_FLIGHT = "prefill in flight"
    BETWEEN_PREFILL_AND_DECODE = "between prefill and decode"
    DECODE_IN_FLIGHT = "decode in flight"
    STREAMING = "streaming"


class DisconnectMethod(Enum):
    """How a client ends its connection."""

    CLOSE = "close"
    HALF_CLOSE = "half-close"
    RESET = "reset"


class ClientBehaviour(Enum):
    """How a client sends its requests."""

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
"""Behaviours of clients that send on a connection whose response is still streaming."""
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
"""Behaviours of clients whose requests have no fault of their own, by weight."""
LONG_STREAM_SHARE = 0.5


class HostFault(Enum):
    """How a host mishandles an attempt."""

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
    """Faults of a dispatcher's process, a whole host or discovery while requests are in progress."""

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
"""Faults that leave the client's stream incomplete."""

DISCONNECT_DELAYS_S = (0.0, 0.0, 0.0, 0.001, 0.004, 0.015, 0.06)
"""The delay between the stage and the client's disconnect."""
ClientDisconnect = tuple[RequestStage, DisconnectMethod]
CLIENT_DISCONNECTS: tuple[ClientDisconnect, ...] = tuple(product(RequestStage, DisconnectMethod))
FAULT_FREE_SHARE = 0.45
"""The share of requests without a fault of their own; they have to be served beside the others."""
CLIENT_DISCONNECT_SHARE = 0.5
FURTHER_FAULT_SHARE = 0.3


@dataclass
class RequestScript:
    """The faults of one request, and its progress.

    Attributes:
        client_disconnect: When and how the client disconnects; None if it does not.
        host_faults: The faults by number of the attempt, prefills included; further attempts have none.
        disconnect_delay_s: The time between the stage of `client_disconnect` and the disconnect.
        reached: Set by the host or client that brings the request to the stage.
        occurred_faults: The names of the faults that have occurred.
        reads_slowly: The client reads little at a time, and its stream is longer.
        second_request_delay_s: The time from the first event to the client's next request on the connection.
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
        """Returns the fault of the attempt that begins now."""
        number = self.attempts_begun
        self.attempts_begun += 1
        return self.host_faults[number] if number < len(self.host_faults) else HostFault.NONE

    def reach(self, stage: RequestStage) -> None:
        self.reached[stage].set()


@dataclass(frozen=True)
class EnvironmentEvent:
    """An environment fault; `target` is the number of a dispatcher or host."""

    at: float
    duration_s: float
    fault: EnvironmentFault
    target: int


def client_disconnect_name(disconnect: ClientDisconnect) -> str:
    stage, method = disconnect
    return f"client {method.value}, {stage.value}"


class ScriptSource:
    """Draws the scripts of a case's requests, with client disconnects and host faults paired in rotation."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"scripts {seed}")
        pairs = list(
            product(CLIENT_DISCONNECTS, [fault for fault in HostFault if fault is not HostFault.NONE])
        )
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
        """Draws a script without faults; some clients reuse the connection, some with long streams."""
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
        """Places the fault at the first attempt or the second, and often further faults at later attempts.

        The first attempt is a prefill if there are prefill hosts.
        """
        rng = self._rng
        other_faults = [other for other in HostFault if other is not HostFault.SLOW]
        faults = [HostFault.NONE] * rng.randint(0, 1) + [fault]
        while rng.random() < FURTHER_FAULT_SHARE:
            faults.append(rng.choice(other_faults))
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
    """Draws one to three faults, in a rotation by the seed so that each pair of faults is drawn."""
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
