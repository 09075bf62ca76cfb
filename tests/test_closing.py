"""Closes of client connections: each has a reason, and those that break a promise to the client are counted.

The violating closes are constructed directly, since the code that closes connections prevents them.
"""

from __future__ import annotations

from typing import Any

import pytest
from msgspec.structs import replace

from violetstack.net.downstream.closing import Close, CloseMonitor, CloseReason, Violation
from violetstack.net.downstream.connection_lifecycle import ConnectionState

HARMLESS = Close(
    reason=CloseReason.SHUTDOWN_IDLE,
    state=ConnectionState.IDLE,
    request_id="q1",
    unread_bytes=0,
    unacknowledged_bytes=0,
    unwritten_bytes=0,
    idle_ms=5000,
    end_announced=False,
    client_ended=False,
)
VIOLATING_CLOSES = {
    Violation.ANSWER_OWED: replace(HARMLESS, state=ConnectionState.WAITING),
    Violation.STREAM_CUT: replace(HARMLESS, state=ConnectionState.STREAMING),
    Violation.OUTPUT_UNSENT: replace(HARMLESS, state=ConnectionState.FLUSHING, unwritten_bytes=1),
    Violation.UNREAD_INPUT: replace(HARMLESS, state=ConnectionState.READING, unread_bytes=9),
}


class LogRecorder:
    """Records the lines that a monitor logs."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __call__(self, event: str, **fields: Any) -> None:
        self.lines.append((event, fields))


@pytest.mark.parametrize("violation", VIOLATING_CLOSES)
def test_a_violation_is_counted_and_logged_with_the_request(violation: Violation) -> None:
    recorder = LogRecorder()
    monitor = CloseMonitor(recorder)
    monitor.record_close(VIOLATING_CLOSES[violation])
    assert dict(monitor.violations) == {violation: 1}
    ((event, fields),) = recorder.lines
    assert event == "client_connection_violation"
    assert (fields["violation"], fields["id"], fields["reason"]) == (violation.value, "q1", "shutdown_idle")


def test_a_closed_accept_queue_is_counted() -> None:
    recorder = LogRecorder()
    monitor = CloseMonitor(recorder)
    monitor.record_queue_closed("127.0.0.1:80")
    assert dict(monitor.violations) == {Violation.QUEUE_CLOSED: 1}
    assert recorder.lines[0][1]["listen"] == "127.0.0.1:80"


def test_output_that_a_reset_would_destroy_counts_as_unsent() -> None:
    """Input that arrives at a closed socket, or was not read before the close, resets the connection."""
    unsent = replace(HARMLESS, unacknowledged_bytes=500)
    assert unsent.violations() == [Violation.OUTPUT_UNSENT]
    lingering = replace(unsent, state=ConnectionState.LINGERING, end_announced=True)
    assert not lingering.violations()
    assert replace(lingering, unread_bytes=9).violations() == [Violation.OUTPUT_UNSENT]


@pytest.mark.parametrize("close", VIOLATING_CLOSES.values())
@pytest.mark.parametrize("reason", [CloseReason.CLIENT_ENDED, CloseReason.CONNECTION_BROKEN])
def test_a_close_after_the_client_disconnected_is_no_violation(close: Close, reason: CloseReason) -> None:
    assert not replace(close, reason=reason).violations()
    assert not replace(close, client_ended=True).violations()


@pytest.mark.parametrize("state", [ConnectionState.UNREAD, ConnectionState.IDLE])
def test_an_unread_request_on_a_resting_connection_is_no_violation(state: ConnectionState) -> None:
    assert not replace(HARMLESS, state=state, unread_bytes=9).violations()


def test_cutting_a_stream_that_its_host_broke_is_no_violation() -> None:
    cut_off = replace(HARMLESS, state=ConnectionState.STREAMING, reason=CloseReason.STREAM_BROKEN)
    assert not cut_off.violations()


def test_a_close_soon_after_a_response_is_logged_with_its_reason() -> None:
    recorder = LogRecorder()
    monitor = CloseMonitor(recorder)
    monitor.record_close(HARMLESS)
    monitor.record_close(replace(HARMLESS, idle_ms=3))
    assert [(event, fields["reason"], fields["idle_ms"]) for event, fields in recorder.lines] == [
        ("client_connection_closed", "shutdown_idle", 3)
    ]
    assert dict(monitor.closes) == {CloseReason.SHUTDOWN_IDLE: 2}
