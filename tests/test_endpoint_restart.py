"""A host that restarts under its old id holds nothing of what it held before."""

from __future__ import annotations

from tests.router_harness import RouterHarness, make_endpoint
from violetstack.policy_api import (
    AttemptStatus,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    UpdateScope,
)


def reserve(harness: RouterHarness) -> tuple[str, str]:
    """A request in its prefill, and the host that has confirmed a slot for it."""
    request = harness.submit()
    prefill = harness.only_action(SendAttempt)
    slot = harness.only_action(ReserveDecodeSlot)
    harness.handle(ReservationResult(request, prefill.server, 0, reserved=True))
    return request, slot.server


def test_a_slot_at_a_host_that_restarted_is_not_used() -> None:
    """The decode followed its slot to the cold host, past its slow start, and was turned away there."""
    harness = RouterHarness()
    request, host = reserve(harness)
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint(host, 1, started_ms=harness.now))
    assert harness.only_action(ReserveDecodeSlot).server != host
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server != host


def test_a_slot_is_used_while_its_host_goes_on() -> None:
    harness = RouterHarness()
    request, host = reserve(harness)
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint(host, 1))
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server == host
