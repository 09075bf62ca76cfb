"""A host that restarts with an unchanged id has lost its reserved slots."""

from __future__ import annotations

from tests.router_harness import RouterHarness, make_endpoint
from violetstack.policy_api import (
    AttemptStatus,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    UpdateScope,
)


def request_with_reserved_slot(harness: RouterHarness) -> tuple[str, str]:
    """Returns the id of a request that is being prefilled, and the host that reserved a slot for it."""
    request = harness.submit()
    prefill = harness.only_action(SendAttempt)
    slot = harness.only_action(ReserveDecodeSlot)
    harness.handle(ReservationResult(request, prefill.server, 0, reserved=True))
    return request, slot.server


def test_a_slot_reserved_before_a_restart_of_its_host_is_not_used() -> None:
    """Regression: the decode went to the restarted host despite its slow start, and was rejected there."""
    harness = RouterHarness()
    request, host = request_with_reserved_slot(harness)
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint(host, 1, started_ms=harness.now))
    assert harness.only_action(ReserveDecodeSlot).server != host
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server != host


def test_a_reserved_slot_is_used_if_its_host_did_not_restart() -> None:
    harness = RouterHarness()
    request, host = request_with_reserved_slot(harness)
    harness.update_endpoints(UpdateScope.DELTA, make_endpoint(host, 1))
    harness.finish_attempt(request, AttemptStatus.PREFILLED)
    assert harness.only_action(SendAttempt).server == host
