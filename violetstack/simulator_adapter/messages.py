"""The simulator's messages.

Classes and attributes have the policy's names. Tags and field names of the wire are stated where they differ.
"""

from __future__ import annotations

import msgspec

from violetstack.settings import Message, SettingsMessage


class EventMessage(Message, tag_field="op"):
    """Base class of the events in a batch; `op` has the event's tag."""


class InstanceStarted(EventMessage, tag="up"):
    """A dispatcher instance started."""

    instance: str = msgspec.field(name="i")
    seed: int = msgspec.field(name="rng_seed")
    settings: SettingsMessage = msgspec.field(name="facts")


class InstanceKilled(EventMessage, tag="killed"):
    """A dispatcher instance ended without shutting down."""

    instance: str = msgspec.field(name="i")


class EndpointMessage(Message):
    """A host of an endpoint list; see `violetstack.policy_api.Endpoint`."""

    server: str = msgspec.field(name="engine")
    cell: int = msgspec.field(name="pod", default=0)
    weight: float | None = msgspec.field(name="heft", default=None)
    zone: int = msgspec.field(name="rack_zone", default=0)
    state: str = msgspec.field(name="stage_state", default="healthy")
    kind: int = msgspec.field(name="hw", default=0)
    started_ms: float | None = msgspec.field(name="online_since", default=None)


class ListDefined(EventMessage, tag="define_list"):
    """Defines the endpoint list with the number `page`, for the announcements after this event."""

    page: int
    endpoints: list[EndpointMessage] = msgspec.field(name="nodes_list")


class ListAnnounced(EventMessage, tag="announce"):
    """An instance received the endpoint list with the number `page`, or discovery failed."""

    instance: str = msgspec.field(name="i")
    scope: str
    page: int | None = None
    version: int | None = msgspec.field(name="seq_no", default=None)


class RequestArrived(EventMessage, tag="work_item"):
    """A request arrived; see `violetstack.policy_api.Request`."""

    instance: str = msgspec.field(name="i")
    id: str = msgspec.field(name="handle")
    expires_in_ms: float = msgspec.field(name="expires_in")
    class_index: int = msgspec.field(name="priority", default=0)
    tenant_index: int | None = msgspec.field(name="customer", default=None)
    session: str | None = msgspec.field(name="talk", default=None)
    expected_answer_ms: float | None = msgspec.field(name="weight_hint", default=None)
    prefix_id: str | None = msgspec.field(name="shared_prefix", default=None)
    prompt_tokens: float | None = None
    prefix_tokens: float | None = None
    max_tokens: float | None = msgspec.field(name="n_max", default=None)
    flags: int | None = None


class HealthChecked(EventMessage, tag="pong"):
    """A health check ended."""

    instance: str = msgspec.field(name="i")
    server: str = msgspec.field(name="engine")
    status: str = msgspec.field(name="ending")
    duration_ms: float | None = msgspec.field(name="took", default=None)
    load_report: list[float | None] | None = msgspec.field(name="load", default=None)


class StreamBegan(EventMessage, tag="begun"):
    """The first event of an attempt's stream arrived."""

    instance: str = msgspec.field(name="i")
    id: str = msgspec.field(name="handle")
    server: str = msgspec.field(name="engine")
    attempt: int = msgspec.field(name="n")
    duration_ms: float | None = msgspec.field(name="took", default=None)


class TimerElapsed(EventMessage, tag="elapsed"):
    """A timer elapsed."""

    instance: str = msgspec.field(name="i")
    token: str


class ReservationAnswered(EventMessage, tag="answer_ahead"):
    """A host answered a reservation."""

    instance: str = msgspec.field(name="i")
    id: str = msgspec.field(name="handle")
    server: str = msgspec.field(name="engine")
    topic: int
    attempt: int = msgspec.field(name="n", default=0)


class GossipArrived(EventMessage, tag="inbox"):
    """A datagram arrived from the dispatcher with the number `peer`; its payload is hexadecimal."""

    instance: str = msgspec.field(name="i")
    peer: int = msgspec.field(name="src_peer")
    payload_hex: str = msgspec.field(name="blob")


class ClientLeft(EventMessage, tag="left"):
    """A client closed its connection."""

    instance: str = msgspec.field(name="i")
    id: str = msgspec.field(name="handle")


class AttemptEnded(EventMessage, tag="resolved"):
    """An attempt ended; see `violetstack.policy_api.AttemptFinished`."""

    instance: str = msgspec.field(name="i")
    id: str = msgspec.field(name="handle")
    attempt: int = msgspec.field(name="n")
    server: str = msgspec.field(name="engine")
    status: str = msgspec.field(name="ending")
    duration_ms: float | None = msgspec.field(name="took", default=None)
    request_finished: bool | None = msgspec.field(name="settled", default=None)
    detail: int | None = None
    load_report: list[float | None] | None = msgspec.field(name="load", default=None)


PolicyEvent = (
    ListAnnounced
    | RequestArrived
    | HealthChecked
    | StreamBegan
    | TimerElapsed
    | ReservationAnswered
    | GossipArrived
    | ClientLeft
    | AttemptEnded
)
ArrivalMessage = InstanceStarted | InstanceKilled | ListDefined | PolicyEvent


class BatchMessage(Message):
    """One line of input: the events of one point in time, in order."""

    now: float
    turn: int
    arrivals: list[ArrivalMessage]


class ActionMessage(msgspec.Struct, tag_field="op"):
    """Base class of the actions in a reply; `op` has the action's tag."""


class SendAttemptMessage(ActionMessage, tag="assign"):
    """Send an attempt."""

    id: str = msgspec.field(name="handle")
    server: str = msgspec.field(name="engine")
    deadline_ms: float = msgspec.field(name="stop_at")
    instance: str = msgspec.field(name="i")


class ReserveDecodeSlotMessage(ActionMessage, tag="pre_pair"):
    """Reserve a decode slot."""

    id: str = msgspec.field(name="handle")
    server: str = msgspec.field(name="engine")
    instance: str = msgspec.field(name="i")


class ReleaseStateMessage(ActionMessage, tag="unhold"):
    """Release the state that hosts hold for a request."""

    id: str = msgspec.field(name="handle")
    instance: str = msgspec.field(name="i")


class CancelAttemptMessage(ActionMessage, tag="withdraw"):
    """Cancel an attempt."""

    id: str = msgspec.field(name="handle")
    attempt: int = msgspec.field(name="n")
    instance: str = msgspec.field(name="i")


class RejectRequestMessage(ActionMessage, tag="decline"):
    """Reject a request."""

    id: str = msgspec.field(name="handle")
    retry_after_ms: float = msgspec.field(name="stay_away")
    instance: str = msgspec.field(name="i")


class FailRequestMessage(ActionMessage, tag="abort"):
    """Fail a request."""

    id: str = msgspec.field(name="handle")
    instance: str = msgspec.field(name="i")


class MigrateStreamMessage(ActionMessage, tag="bounce"):
    """Resume a stream at another host."""

    id: str = msgspec.field(name="handle")
    instance: str = msgspec.field(name="i")


class StartTimerMessage(ActionMessage, tag="remind"):
    """Start a timer."""

    delay_ms: float = msgspec.field(name="after")
    token: str
    instance: str = msgspec.field(name="i")


class SetWatchMessage(ActionMessage, tag="stream_changes"):
    """Open or close the watch of the endpoint list."""

    enabled: bool = msgspec.field(name="enable")
    instance: str = msgspec.field(name="i")


class FetchEndpointsMessage(ActionMessage, tag="snapshot"):
    """Fetch the complete endpoint list."""

    instance: str = msgspec.field(name="i")


class SendHealthCheckMessage(ActionMessage, tag="poll"):
    """Send a health check."""

    server: str = msgspec.field(name="engine")
    instance: str = msgspec.field(name="i")


class SendGossipMessage(ActionMessage, tag="post"):
    """Send a datagram; the destination `*` stands for all other dispatchers."""

    destination: str = msgspec.field(name="dst")
    payload_hex: str = msgspec.field(name="blob")
    instance: str = msgspec.field(name="i")


class WriteLogMessage(ActionMessage, tag="emit"):
    """Write a log line."""

    text: str = msgspec.field(name="msg")
    instance: str = msgspec.field(name="i")


class PolicyFailedMessage(ActionMessage, tag="fault"):
    """Report that the policy raised an exception."""

    instance: str = msgspec.field(name="i")
    text: str = msgspec.field(name="msg")


class ReplyMessage(msgspec.Struct):
    """One line of output: the actions for the batch with the same `turn`."""

    turn: int
    actions: list[ActionMessage]
