"""Translates the simulator's messages to the policy's events, and the policy's actions to messages."""

from __future__ import annotations

from collections.abc import Mapping

from violetstack.policy_api import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    FailRequest,
    FetchEndpoints,
    GossipReceived,
    HealthCheckResult,
    MigrateStream,
    RejectRequest,
    ReleaseState,
    Request,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    SendGossip,
    SendHealthCheck,
    SetWatch,
    StartTimer,
    StreamStarted,
    TimerFired,
    UpdateScope,
    WriteLog,
)
from violetstack.settings import MessageError, look_up
from violetstack.simulator_adapter import messages

ListsByPage = Mapping[int, tuple[Endpoint, ...]]
RequestAction = (
    SendAttempt
    | ReserveDecodeSlot
    | ReleaseState
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | MigrateStream
)

# Bits of a request's flags.
FLAG_ANSWER_EXPECTED = 1
FLAG_RETRY = 2
FLAG_RESUMED = 16

TOPIC_SLOT_RESERVED = 1
ALL_OTHER_DISPATCHERS = "*"

STATUS_BY_WIRE_VALUE = {
    "pass": AttemptStatus.OK,
    "fault": AttemptStatus.ERROR,
    "no_room": AttemptStatus.REJECTED,
    "too_slow": AttemptStatus.TIMEOUT,
    "no_route": AttemptStatus.CONNECT_FAILED,
    "cut": AttemptStatus.RESET,
    "undone": AttemptStatus.CANCELLED,
    "stale_send": AttemptStatus.ALREADY_FINISHED,
    "ready_to_answer": AttemptStatus.PREFILLED,
}
STATE_BY_WIRE_VALUE = {
    "healthy": EndpointState.HEALTHY,
    "cordoned": EndpointState.DRAINING,
    "deregistered": EndpointState.REMOVED,
}
SCOPE_BY_WIRE_VALUE = {
    "incr": UpdateScope.DELTA,
    "total": UpdateScope.SNAPSHOT,
    "warm_copy": UpdateScope.CACHED,
    "lost": UpdateScope.FAILED,
}


class UndefinedPageError(MessageError):
    """An announcement names an endpoint list that was not defined before."""

    def __init__(self, page: int | None) -> None:
        """Creates the error for the number of a list."""
        super().__init__(f"an announce event names page {page}, which is not defined")
        self.page = page


class PayloadError(MessageError):
    """The payload of a datagram is not hexadecimal."""

    def __init__(self) -> None:
        """Creates the error."""
        super().__init__("the blob of an inbox event is not hexadecimal")


def decode_endpoint(message: messages.EndpointMessage) -> Endpoint:
    """Translates a host of an endpoint list.

    Raises:
        MessageError: The host's state is unknown.
    """
    return Endpoint(
        server=message.server,
        cell=message.cell,
        weight=1.0 if message.weight is None else message.weight,
        zone=message.zone,
        state=look_up(STATE_BY_WIRE_VALUE, message.state, "stage_state"),
        kind=message.kind,
        started_ms=message.started_ms or None,
    )


def decode_event(message: messages.PolicyEvent, lists_by_page: ListsByPage) -> Event:
    """Translates an event.

    Args:
        message: The event.
        lists_by_page: The endpoint lists that are defined when the event occurs, by number.

    Raises:
        MessageError: A value is invalid.
    """
    match message:
        case messages.ListAnnounced():
            return _endpoint_update(message, lists_by_page)
        case messages.RequestArrived():
            return _request(message)
        case messages.StreamBegan():
            duration_ms = message.duration_ms or 0.0
            return StreamStarted(message.id, message.server, message.attempt, duration_ms)
        case messages.AttemptEnded():
            return _attempt_finished(message)
        case messages.ReservationAnswered():
            reserved = message.topic == TOPIC_SLOT_RESERVED
            return ReservationResult(message.id, message.server, message.attempt, reserved)
        case messages.ClientLeft():
            return ClientDisconnected(message.id)
        case messages.TimerElapsed():
            return TimerFired(message.token)
        case messages.HealthChecked():
            return HealthCheckResult(
                server=message.server,
                status=look_up(STATUS_BY_WIRE_VALUE, message.status, "ending"),
                duration_ms=message.duration_ms or 0.0,
                load_report=_load_report(message.load_report),
            )
        case messages.GossipArrived():
            return GossipReceived(message.peer, _payload(message.payload_hex))


def _endpoint_update(message: messages.ListAnnounced, lists_by_page: ListsByPage) -> EndpointUpdate:
    scope = look_up(SCOPE_BY_WIRE_VALUE, message.scope, "scope")
    endpoints: tuple[Endpoint, ...] = ()
    if scope is not UpdateScope.FAILED:
        if message.page is None or message.page not in lists_by_page:
            raise UndefinedPageError(message.page)
        endpoints = lists_by_page[message.page]
    return EndpointUpdate(scope, endpoints, message.version or 0)


def _request(message: messages.RequestArrived) -> Request:
    flags = message.flags or 0
    return Request(
        id=message.id,
        class_index=message.class_index,
        tenant_index=message.tenant_index or 0,
        session=message.session or None,
        expires_in_ms=message.expires_in_ms,
        expected_answer_ms=message.expected_answer_ms if flags & FLAG_ANSWER_EXPECTED else None,
        prefix_id=message.prefix_id or None,
        prompt_tokens=message.prompt_tokens or 0.0,
        prefix_tokens=message.prefix_tokens or 0.0,
        max_tokens=message.max_tokens or 0.0,
        is_retry=bool(flags & FLAG_RETRY),
        is_resumed=bool(flags & FLAG_RESUMED),
    )


def _attempt_finished(message: messages.AttemptEnded) -> AttemptFinished:
    return AttemptFinished(
        id=message.id,
        server=message.server,
        attempt=message.attempt,
        status=look_up(STATUS_BY_WIRE_VALUE, message.status, "ending"),
        duration_ms=message.duration_ms or 0.0,
        request_finished=bool(message.request_finished),
        detail=message.detail or 0,
        load_report=_load_report(message.load_report),
    )


def _load_report(values: list[float | None] | None) -> tuple[float | None, ...] | None:
    return tuple(values) if values is not None else None


def _payload(payload_hex: str) -> bytes:
    try:
        return bytes.fromhex(payload_hex)
    except ValueError:
        raise PayloadError from None


def encode_action(instance: str, action: Action) -> messages.ActionMessage:
    """Translates an action of the named instance's policy."""
    match action:
        case StartTimer():
            return messages.StartTimerMessage(action.delay_ms, action.token, instance)
        case SetWatch():
            return messages.SetWatchMessage(action.enabled, instance)
        case FetchEndpoints():
            return messages.FetchEndpointsMessage(instance)
        case SendHealthCheck():
            return messages.SendHealthCheckMessage(action.server, instance)
        case SendGossip():
            return messages.SendGossipMessage(ALL_OTHER_DISPATCHERS, action.payload.hex(), instance)
        case WriteLog():
            return messages.WriteLogMessage(action.text, instance)
        case _:
            return _encode_request_action(instance, action)


def _encode_request_action(instance: str, action: RequestAction) -> messages.ActionMessage:
    match action:
        case SendAttempt():
            return messages.SendAttemptMessage(action.id, action.server, action.deadline_ms, instance)
        case ReserveDecodeSlot():
            return messages.ReserveDecodeSlotMessage(action.id, action.server, instance)
        case ReleaseState():
            return messages.ReleaseStateMessage(action.id, instance)
        case CancelAttempt():
            return messages.CancelAttemptMessage(action.id, action.attempt, instance)
        case RejectRequest():
            return messages.RejectRequestMessage(action.id, action.retry_after_ms, instance)
        case FailRequest():
            return messages.FailRequestMessage(action.id, instance)
        case MigrateStream():
            return messages.MigrateStreamMessage(action.id, instance)
