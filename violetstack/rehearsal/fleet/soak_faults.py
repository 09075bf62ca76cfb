"""The faults of a soak: those of the campaign and further ones, several of which overlap in time."""

from __future__ import annotations

import errno
import random
from dataclasses import dataclass
from enum import Enum

from violetstack.rehearsal.fleet.campaign_faults import (
    DEFAULT_FAULT_DURATION_S,
    FAULT_DURATIONS_S,
    EnvironmentFault,
)
from violetstack.rehearsal.fleet.fault_shim import SystemCall


class SoakFault(Enum):
    """The faults of a soak in addition to those of the campaign."""

    SOCKET_ENFILE = "socket ENFILE"
    SOCKET_EMFILE = "socket EMFILE"
    CONNECT_ENOBUFS = "connect ENOBUFS"
    CONNECT_EADDRNOTAVAIL = "connect EADDRNOTAVAIL"
    CONNECT_ENETUNREACH = "connect ENETUNREACH"
    ACCEPT_ENOBUFS = "accept ENOBUFS"
    ACCEPT_ECONNABORTED = "accept ECONNABORTED"
    SEND_ONE_BYTE = "send writes a byte"
    SEND_ENOBUFS = "send ENOBUFS"
    RECV_ENOMEM = "recv ENOMEM"
    POLL_ENOMEM = "poll ENOMEM"
    CLOCK_FORWARD = "clock an hour forward"
    CLOCK_BACK = "clock an hour back"
    CLOCK_STEP_AND_RESTART = "clock stepped over a restart"
    LOG_STALLS = "log reader stalls"
    RELOADS = "reloads in a row"
    DISCOVERY_MOVES = "SIGHUP moves discovery"
    SIGNAL_SERIES = "SIGTERM, SIGKILL, start, SIGHUP, SIGTERM"
    CONNECTION_FLOOD = "crowd of clients without a whole request"
    CPU_CONTENTION = "busy machine"
    HOST_RESETS_CONNECTIONS = "host resets connections"
    HOST_HANGS = "host hangs"
    HOST_FREEZES_AND_BEGINS = "host freezes, then begins what has come"
    HOST_FREEZES_AND_RESETS = "host freezes, then resets"
    HOST_BECOMES_UNREACHABLE = "host vanishes and comes back"
    HOST_GROUP_FREEZES = "half of the hosts freeze"


InjectedFault = EnvironmentFault | SoakFault


class FailingCall(Enum):
    """The failing system call of a fault: the call, its error number, and its period in calls."""

    SOCKET_ENFILE = (SystemCall.SOCKET, errno.ENFILE, 1)
    SOCKET_EMFILE = (SystemCall.SOCKET, errno.EMFILE, 1)
    CONNECT_ENOBUFS = (SystemCall.CONNECT, errno.ENOBUFS, 1)
    CONNECT_EADDRNOTAVAIL = (SystemCall.CONNECT, errno.EADDRNOTAVAIL, 1)
    CONNECT_ENETUNREACH = (SystemCall.CONNECT, errno.ENETUNREACH, 2)
    ACCEPT_ENOBUFS = (SystemCall.ACCEPT, errno.ENOBUFS, 2)
    ACCEPT_ECONNABORTED = (SystemCall.ACCEPT, errno.ECONNABORTED, 2)
    SEND_ONE_BYTE = (SystemCall.SEND, 0, 3)
    SEND_ENOBUFS = (SystemCall.SEND, errno.ENOBUFS, 3)
    RECV_ENOMEM = (SystemCall.RECV, errno.ENOMEM, 3)
    POLL_ENOMEM = (SystemCall.POLL, errno.ENOMEM, 2)


SOAK_FAULT_DURATIONS_S = {
    SoakFault.CLOCK_FORWARD: 3.0,
    SoakFault.CLOCK_BACK: 3.0,
    SoakFault.LOG_STALLS: 4.0,
    SoakFault.HOST_HANGS: 2.5,
    SoakFault.HOST_FREEZES_AND_BEGINS: 2.0,
    SoakFault.HOST_FREEZES_AND_RESETS: 2.0,
    SoakFault.HOST_BECOMES_UNREACHABLE: 2.5,
    SoakFault.HOST_GROUP_FREEZES: 1.5,
    SoakFault.CONNECTION_FLOOD: 3.0,
    SoakFault.CPU_CONTENTION: 3.0,
}
LATE_START_CHANCE = 0.3
LATE_START_SHARE = 0.4
"""The share of the duration before the first fault, for seeds that start late."""
FAULT_FREE_END_S = 3.0
WAVE_INTERVAL_S = (1.5, 3.5)
"""The shortest and longest time from one wave of faults to the next."""
SAME_TARGET_CHANCE = 0.7
RESTART_IN_EACH_WAVE_CHANCE = 0.5
"""The share of seeds in which each wave restarts a dispatcher, in addition to its other faults."""
RESTART_FAULTS = (EnvironmentFault.SIGTERM, EnvironmentFault.SIGTERM, SoakFault.SIGNAL_SERIES)


@dataclass(frozen=True)
class SoakEvent:
    """A fault of the soak; `target` is the number of a dispatcher or host."""

    at: float
    duration_s: float
    fault: InjectedFault
    target: int


def is_host_fault(fault: InjectedFault) -> bool:
    """Returns whether the fault's target is a host."""
    return fault.name.startswith("HOST")


def draw_soak(seed: int, duration_s: float, dispatchers: int, hosts: int) -> list[SoakEvent]:
    """Draws waves of two or three overlapping faults, most of them at the same dispatcher."""
    rng = random.Random(f"soak {seed}")
    faults: list[InjectedFault] = [*EnvironmentFault, *SoakFault]
    rng.shuffle(faults)
    queue = list(faults)
    at = duration_s * LATE_START_SHARE if rng.random() < LATE_START_CHANCE else 0.5
    events: list[SoakEvent] = []
    restarts = rng.random() < RESTART_IN_EACH_WAVE_CHANCE
    while at < duration_s - FAULT_FREE_END_S:
        dispatcher = rng.randrange(dispatchers)
        if restarts:
            fault = rng.choice(RESTART_FAULTS)
            events.append(SoakEvent(at + rng.random() * 0.6, fault_duration_s(fault), fault, dispatcher))
        for _ in range(rng.choice((2, 2, 3))):
            queue = queue or list(faults)
            fault = queue.pop()
            if is_host_fault(fault):
                target = rng.randrange(hosts)
            else:
                target = dispatcher if rng.random() < SAME_TARGET_CHANCE else rng.randrange(dispatchers)
            events.append(SoakEvent(at + rng.random() * 0.6, fault_duration_s(fault), fault, target))
        at += rng.uniform(*WAVE_INTERVAL_S)
    return events


def fault_duration_s(fault: InjectedFault) -> float:
    """Returns how long the fault is in force, in seconds."""
    if isinstance(fault, SoakFault):
        return SOAK_FAULT_DURATIONS_S.get(fault, DEFAULT_FAULT_DURATION_S)
    return FAULT_DURATIONS_S.get(fault, DEFAULT_FAULT_DURATION_S)
