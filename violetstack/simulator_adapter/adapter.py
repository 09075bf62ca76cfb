"""Runs one policy for each dispatcher instance of the simulator, and answers batch by batch."""

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
    Fault,
    InstanceKilled,
    InstanceStarted,
    ListDefined,
    ReplyMessage,
)
from violetstack.simulator_adapter.translation import decode_endpoint, decode_event, encode_action

MAX_FAULT_TEXT = 400
EXIT_MALFORMED_INPUT = 2


class SimulatorAdapter:
    """The instances of a simulation, each with its own policy."""

    def __init__(self) -> None:
        """Creates an adapter without instances."""
        self._policies: dict[str, Router] = {}
        self._pages: dict[int, tuple[Endpoint, ...]] = {}

    def run_batch(self, batch: BatchMessage) -> list[ActionMessage]:
        """Returns the actions that follow from a batch.

        The events of one instance go to its policy in one call, in their order.

        Raises:
            MessageError: A message has a value that the wire does not allow.
        """
        events_by_instance: dict[str, list[Event]] = {}
        for message in batch.arrivals:
            match message:
                case ListDefined():
                    self._pages[message.page] = tuple(decode_endpoint(each) for each in message.endpoints)
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
                        events.append(decode_event(message, self._pages))
        actions: list[ActionMessage] = []
        for instance, events in events_by_instance.items():
            actions.extend(self._decide(instance, batch.now, events))
        return actions

    def _decide(self, instance: str, now: float, events: list[Event]) -> list[ActionMessage]:
        """An exception of the policy is reported in the reply, and the other instances go on."""
        try:
            actions = self._policies[instance].handle(now, events)
        except Exception as error:
            print(f"decision code failed for {instance}: {error!r}", file=sys.stderr)
            return [Fault(instance, f"{type(error).__name__}: {error}"[:MAX_FAULT_TEXT])]
        return [encode_action(instance, action) for action in actions]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers each line of `source` by one line on `sink`, until the end of input.

    Raises:
        MessageError: A line is not a valid batch; the text has its number.
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
        """Creates the error for a line by its number, from 1."""
        super().__init__(f"line {number}: {reason}")
        self.number = number
        self.reason = reason


def main() -> int:
    """Serves standard input and output; returns the process's exit status."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MessageError as error:
        print(f"simulator_adapter: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0
