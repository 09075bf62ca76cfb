"""The plan of a fleet run, read from a TOML file: dispatchers, hosts, an open-loop load and timed faults."""

from __future__ import annotations

import tomllib
from typing import Literal

import msgspec

FaultKind = Literal["kill", "term", "stop", "drain", "replace", "fail", "link", "discovery", "network"]
MODES = {
    "discovery": ("silent", "503", "slow", "empty", "old"),
    "network": ("cut", "deaf", "dumb", "loss", "late", "twice"),
}


class PlanError(Exception):
    """An invalid plan; the text names the value, and the fault that has it."""


class PlannedFault(msgspec.Struct, forbid_unknown_fields=True):
    """One fault of a plan. Times are seconds of the run.

    `kill` sends SIGKILL and starts the processes again after `duration_s`. `stop` sends SIGSTOP, and SIGCONT
    after `duration_s`. `term` sends SIGTERM; each process is started again once it has ended, and is killed
    if it has not ended after `duration_s` (3.7 s where that is 0). `link` makes hosts answer everything from
    these dispatchers with errors, as if the path of each were broken. `fail`, `link`,
    `discovery` and `network` last to the end of the run where `duration_s` is 0; `drain` and `replace` take
    effect at once.

    Attributes:
        at: When the fault begins.
        kind: What happens.
        target: Dispatchers as `all`, `0-9` or `0,3`, or `holder` for that of a lease; for `drain`, `replace`
            and `fail`, hosts as `r0,w1` (r: prefill, w: decode).
        duration_s: How long it lasts.
        mode: One of MODES, for `discovery` and `network`.
    """

    at: float
    kind: FaultKind = msgspec.field(name="do")
    target: str = msgspec.field(name="who", default="all")
    duration_s: float = msgspec.field(name="lasts", default=0.0)
    mode: str = msgspec.field(name="how", default="")


class Plan(msgspec.Struct, forbid_unknown_fields=True):
    """A fleet run.

    Attributes:
        rate: Requests a second.
        utilization: The share of the hosts' capacity that this rate takes.
        warm_up_s: For how long the run warms up.
        duration_s: How long the load lasts.
        ejection_delay_s: How long clients still send to a dispatcher that no longer answers.
        sockets: The limit of open sockets of each dispatcher.
        gossip: Whether dispatchers send load reports to each other.
        operator_file: The text of the operator's file of every dispatcher.
        admin_api: Whether each dispatcher serves it.
        supervised: Whether a dispatcher that ends with status 0 is started again.
    """

    seed: int
    dispatchers: int = 4
    prefill_hosts: int = msgspec.field(name="readers", default=3)
    decode_hosts: int = msgspec.field(name="writers", default=3)
    rate: float = 40.0
    utilization: float = msgspec.field(name="load", default=0.6)
    warm_up_s: float = msgspec.field(name="warm", default=3.0)
    duration_s: float = msgspec.field(name="seconds", default=10.0)
    ejection_delay_s: float = msgspec.field(name="notice", default=1.2)
    sockets: int = 256
    gossip: bool = msgspec.field(name="tells", default=True)
    operator_file: str = msgspec.field(name="file", default="")
    admin_api: bool = msgspec.field(name="door", default=False)
    supervised: bool = False
    faults: list[PlannedFault] = msgspec.field(name="trouble", default_factory=list)

    @property
    def first_fault_at(self) -> float:
        """When the first fault begins; service before it is what recovery is compared with."""
        return min((fault.at for fault in self.faults), default=self.warm_up_s)

    @property
    def faults_end_at(self) -> float:
        """When the last fault is over: its processes run again, discovery and connections work."""
        return max((fault.at + fault.duration_s for fault in self.faults), default=self.warm_up_s)


def parse_numbers(text: str, count: int) -> list[int]:
    """Return the numbers below `count` that `all`, `0-3` or `1,4-5` names.

    Raises:
        PlanError: The text is malformed, or names a number that is too large.
    """
    if text == "all":
        return list(range(count))
    found: list[int] = []
    for part in text.split(","):
        low, _, high = part.strip().partition("-")
        if not low.isdigit() or not (high or low).isdigit() or int(high or low) >= count:
            raise PlanError(f"who = {text!r}: {part.strip()!r} is none of 0 to {count - 1}")
        found += range(int(low), int(high or low) + 1)
    return found


def read(text: str) -> Plan:
    """Parse and check a plan.

    Raises:
        PlanError: The plan is invalid.
    """
    try:
        plan = msgspec.convert(tomllib.loads(text), Plan)
    except (tomllib.TOMLDecodeError, msgspec.ValidationError) as error:
        raise PlanError(str(error)) from None
    if not 1 <= plan.dispatchers <= 200 or min(plan.prefill_hosts, plan.decode_hosts) < 1 or plan.rate <= 0:
        raise PlanError("dispatchers must be 1 to 200, readers and writers at least 1, rate above 0")
    hosts = {f"r{n}" for n in range(plan.prefill_hosts)} | {f"w{n}" for n in range(plan.decode_hosts)}
    for n, fault in enumerate(plan.faults):
        where = f"trouble {n + 1} ({fault.kind})"
        if not 0 <= fault.at <= plan.duration_s or fault.duration_s < 0:
            raise PlanError(
                f"{where}: at = {fault.at} is outside of 0 to seconds = {plan.duration_s}, "
                f"or lasts = {fault.duration_s} is negative"
            )
        if fault.kind in MODES and fault.mode not in MODES[fault.kind]:
            raise PlanError(f"{where}: how = {fault.mode!r} is none of {', '.join(MODES[fault.kind])}")
        if fault.kind in ("drain", "replace", "fail"):
            unknown = {name.strip() for name in fault.target.split(",")} - hosts
            if unknown:
                raise PlanError(
                    f"{where}: no host {sorted(unknown)[0]!r}; "
                    f"hosts are r0 to r{plan.prefill_hosts - 1} and w0 to w{plan.decode_hosts - 1}"
                )
        elif fault.target != "holder":
            parse_numbers(fault.target, plan.dispatchers)
    return plan
