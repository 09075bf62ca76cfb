"""Faults in the lease protocol that the checks must find; each is injected by replacing a function."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any, NamedTuple

from violetstack.lease import acceptor as acceptor_module
from violetstack.lease.acceptor import Acceptor
from violetstack.lease.messages import NUMBER_MASK, Ballot, Message
from violetstack.lease.proposer import Proposer

Function = Callable[..., Any]
HELD_TOO_LONG_MS = 300.0
SHORT_EXPIRY = 0.6


class Fault(NamedTuple):
    """A function, as an attribute of its class or module, and what it is replaced by."""

    owner: Any
    attribute: str
    replace: Callable[[Function], Function]


def _always_ready(_real: Function) -> Function:
    return lambda _acceptor, _now: True


def _without_drift_margin(_real: Function) -> Function:
    return lambda duration: duration


def _with_short_expiry(_real: Function) -> Function:
    return lambda duration: duration * SHORT_EXPIRY


def _with_reused_token(real: Function) -> Function:
    return lambda proposer, now, owner, token: real(proposer, now, owner, max(1, token - 1))


def _with_small_quorum(real: Function) -> Function:
    def _init(proposer: Proposer, *args: Any, **options: Any) -> None:
        real(proposer, *args, **options)
        proposer.quorum -= 1

    return _init


def _with_shared_ballots(real: Function) -> Function:
    def _init(proposer: Proposer, lease_id: int, node_id: int, *args: Any, **options: Any) -> None:
        real(proposer, lease_id, node_id & ~NUMBER_MASK, *args, **options)

    return _init


def _held_too_long(_real: Function) -> Function:
    return lambda proposer, now: now < proposer.expires_at + HELD_TOO_LONG_MS


def _accepting_old_ballots(real: Function) -> Function:
    def _handle(acceptor: Acceptor, now: float, message: Message) -> Any:
        state = acceptor.leases.get(message.lease_id)
        if state is not None:
            state.promised = Ballot(0, 0)
        return real(acceptor, now, message)

    return _handle


def _forgetting_promises(_real: Function) -> Function:
    return lambda acceptor, _now: acceptor.leases.clear()


FAULTS = {
    "no quarantine after a restart": Fault(Acceptor, "is_ready", _always_ready),
    "no clock drift margin": Fault(acceptor_module, "with_drift_margin", _without_drift_margin),
    "acceptor expires leases early": Fault(acceptor_module, "with_drift_margin", _with_short_expiry),
    "fencing token reused": Fault(Proposer, "_propose", _with_reused_token),
    "quorum one too small": Fault(Proposer, "__init__", _with_small_quorum),
    "ballots not unique": Fault(Proposer, "__init__", _with_shared_ballots),
    "lease held past its expiry": Fault(Proposer, "holds", _held_too_long),
    "old ballot accepted": Fault(Acceptor, "handle", _accepting_old_ballots),
    "promise forgotten at once": Fault(Acceptor, "discard_expired", _forgetting_promises),
}
FOUND_BY_SIMULATION = (  # within a minute of virtual time; the others need the model checker
    "no quarantine after a restart",
    "acceptor expires leases early",
    "fencing token reused",
    "quorum one too small",
    "lease held past its expiry",
    "old ballot accepted",
    "promise forgotten at once",
)


@contextmanager
def injected(name: str) -> Iterator[None]:
    """Inject the fault of this name while the context is active."""
    fault = FAULTS[name]
    real = getattr(fault.owner, fault.attribute)
    setattr(fault.owner, fault.attribute, fault.replace(real))
    try:
        yield
    finally:
        setattr(fault.owner, fault.attribute, real)
