"""The stored state, and the log records that change it. Times are Unix milliseconds.

The keys in the files are those of earlier releases; `msgspec.field(name=...)` maps them to the names here.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import IntEnum

import msgspec

from violetstack.handover.learned_state import LearnedState
from violetstack.protocol.discovery import ListedEndpoint
from violetstack.protocol.json_errors import DECODE_ERRORS
from violetstack.state.errors import RecordError
from violetstack.state.records import Record, encode_record


class RecordKind(IntEnum):
    """The kinds of records; unknown kinds are skipped when a file is read."""

    SNAPSHOT = 1
    ENDPOINT_LIST = 2
    ENDPOINT_CHANGES = 3
    LEARNED_STATE = 4


class EndpointMessage(msgspec.Struct, frozen=True):
    """A message of service discovery: a complete endpoint list, or changes to it."""

    received_at: float = msgspec.field(name="at")
    version: int
    endpoints: tuple[ListedEndpoint, ...] = msgspec.field(name="servers")


class StateSnapshot(msgspec.Struct):
    """The state at one moment.

    Attributes:
        received_at: When service discovery last sent a message; 0 if it never did.
        version: The version of the endpoint list.
        endpoints: The listed endpoints, by id.
        learned: The policy's estimates, which have their own time; None if there are none.
    """

    received_at: float = msgspec.field(default=0.0, name="heard_at")
    version: int = 0
    endpoints: dict[str, ListedEndpoint] = msgspec.field(default_factory=dict, name="servers")
    learned: LearnedState | None = None

    def encode(self) -> bytes:
        """Returns the state as one record."""
        return encode_record(RecordKind.SNAPSHOT, msgspec.msgpack.encode(self))

    def apply_endpoints(self, message: EndpointMessage, *, complete: bool) -> None:
        """Replaces the endpoint list if the message is `complete`, otherwise applies its changes."""
        if complete:
            self.endpoints = {}
        for endpoint in message.endpoints:
            if endpoint.state == "left":
                self.endpoints.pop(endpoint.id, None)
            else:
                self.endpoints[endpoint.id] = endpoint
        self.received_at = message.received_at
        self.version = message.version

    def replay(self, records: Iterable[Record]) -> None:
        """Applies log records in order, up to the first one that cannot be decoded.

        Raises:
            RecordError: A record cannot be decoded; those before it have been applied.
        """
        for record in records:
            try:
                self._apply(record)
            except DECODE_ERRORS as error:
                raise RecordError(record.kind, str(error)) from error

    def _apply(self, record: Record) -> None:
        match record.kind:
            case RecordKind.SNAPSHOT:
                stored = msgspec.msgpack.decode(record.body, type=StateSnapshot)
                self.received_at = stored.received_at
                self.version = stored.version
                self.endpoints = stored.endpoints
                self.learned = stored.learned
            case RecordKind.ENDPOINT_LIST | RecordKind.ENDPOINT_CHANGES:
                message = msgspec.msgpack.decode(record.body, type=EndpointMessage)
                self.apply_endpoints(message, complete=record.kind == RecordKind.ENDPOINT_LIST)
            case RecordKind.LEARNED_STATE:
                self.learned = msgspec.msgpack.decode(record.body, type=LearnedState)
            case _:
                pass  # a kind that a later release has written


def encode_endpoints(message: EndpointMessage, *, complete: bool) -> bytes:
    """Encodes a message of service discovery as a log record."""
    kind = RecordKind.ENDPOINT_LIST if complete else RecordKind.ENDPOINT_CHANGES
    return encode_record(kind, msgspec.msgpack.encode(message))


def encode_learned(learned: LearnedState) -> bytes:
    """Encodes the policy's estimates as a log record."""
    return encode_record(RecordKind.LEARNED_STATE, msgspec.msgpack.encode(learned))
