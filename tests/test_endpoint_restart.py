"""A host that restarts under its old id holds nothing of what it held before."""

from __future__ import annotations

from tests.front import Front, entry
from violetstack.policy_api import (
    AttemptStatus,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    UpdateScope,
)


def reserve(front: Front) -> tuple[str, str]:
    """A request in its prefill, and the host that has confirmed a slot for it."""
    request = front.ask()
    prefill = front.one(SendAttempt)
    slot = front.one(ReserveDecodeSlot)
    front.feed(ReservationResult(request, prefill.server, 0, reserved=True))
    return request, slot.server


def test_a_slot_at_a_host_that_restarted_is_not_used() -> None:
    """The decode followed its slot to the cold host, past its slow start, and was turned away there."""
    front = Front()
    request, host = reserve(front)
    front.news(UpdateScope.DELTA, entry(host, 1, started_ms=front.now))
    assert front.one(ReserveDecodeSlot).server != host
    front.end(request, AttemptStatus.PREFILLED)
    assert front.one(SendAttempt).server != host


def test_a_slot_is_used_while_its_host_goes_on() -> None:
    front = Front()
    request, host = reserve(front)
    front.news(UpdateScope.DELTA, entry(host, 1))
    front.end(request, AttemptStatus.PREFILLED)
    assert front.one(SendAttempt).server == host
