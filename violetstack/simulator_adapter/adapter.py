"""Runs one policy for each dispatcher instance of the simulator, and replies to each batch of events."""

from __future__ import annotations

import sys
from typing import BinaryIO

import msgspec

from violetstack.policy.router import Router
from violetstack.policy_api import Endpoint, Event
from violetstack.settings import MessageError, decode_settings
from violetstack.simulator_adapter.messages import (
    ActionMessage,
    BatchMessage,
    InstanceKilled,
    InstanceStarted,
    ListDefined,
    PolicyFailedMessage,
    ReplyMessage,
)
from violetstack.simulator_adapter.translation import decode_endpoint, decode_event, encode_action

MAX_ERROR_LENGTH = 400
EXIT_MALFORMED_INPUT = 2


class SimulatorAdapter:
    """The dispatcher instances of a simulation, each with its own policy."""

    def __init__(self) -> None:
        """Creates an adapter without instances."""
        self._policies: dict[str, Router] = {}
        self._lists_by_page: dict[int, tuple[Endpoint, ...]] = {}

    def run_batch(self, batch: BatchMessage) -> list[ActionMessage]:
        """Returns the actions in response to a batch.

        The policy of an instance gets all of its events in one call, in their order.

        Raises:
            MessageError: A message has an invalid value.
        """
        events_by_instance: dict[str, list[Event]] = {}
        for message in batch.arrivals:
            match message:
                case ListDefined():
                    self._lists_by_page[message.page] = tuple(
                        decode_endpoint(endpoint) for endpoint in message.endpoints
                    )
                case InstanceKilled():
                    events_by_instance.pop(message.instance, None)
                    self._policies.pop(message.instance, None)
                case InstanceStarted():
                    events_by_instance[message.instance] = []
                    settings = decode_settings(message.settings, message.seed)
                    self._policies[message.instance] = Router(settings)
                case _:
                    if message.instance in self._policies:
                        events = events_by_instance.setdefault(message.instance, [])
                        events.append(decode_event(message, self._lists_by_page))
        actions: list[ActionMessage] = []
        for instance, events in events_by_instance.items():
            actions.extend(self._decide(instance, batch.now, events))
        return actions

    def _decide(self, instance: str, now: float, events: list[Event]) -> list[ActionMessage]:
        """Returns the actions of one instance's policy.

        An exception of the policy is reported in the reply; the other instances continue.
        """
        try:
            actions = self._policies[instance].handle(now, events)
        except Exception as error:
            print(f"policy failed for instance {instance}: {error!r}", file=sys.stderr)
            return [PolicyFailedMessage(instance, f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH])]
        return [encode_action(instance, action) for action in actions]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Writes one line to `sink` for each line of `source`, until the end of input.

    Raises:
        MessageError: A line is not a valid batch; the error names the number of the line.
    """
    decoder = msgspec.json.Decoder(BatchMessage)
    encoder = msgspec.json.Encoder()
    adapter = SimulatorAdapter()
    for number, line in enumerate(source, 1):
        try:
            batch = decoder.decode(line)
            actions = adapter.run_batch(batch)
        except (msgspec.MsgspecError, MessageError, UnicodeDecodeError) as error:
            raise MalformedLineError(number, str(error)) from None
        sink.write(encoder.encode(ReplyMessage(batch.turn, actions)) + b"\n")
        sink.flush()


class MalformedLineError(MessageError):
    """A line of input is not a valid batch."""

    def __init__(self, number: int, reason: str) -> None:
        """Creates the error for a line; the first line has the number 1."""
        super().__init__(f"line {number}: {reason}")
        self.number = number
        self.reason = reason


def main() -> int:
    """Serves standard input and output; returns the exit status of the process."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MessageError as error:
        print(f"simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0
