"""The forms of events that model hosts may write within an answer, sound ones and spoilt ones.

A cell is a form, its position in the answer, the front and the class of the request, how its client asks for
the answer, and the API of the host.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Any

import orjson

WORDS = ("send", " 10", " of", " 250", " dollars")
MORE = " more"
"""The word of the form, where the form has one."""
NESTING = 300
"""More levels than the JSON encoder takes."""


def encode(value: Any) -> bytes:
    """Returns an event with a JSON value."""
    return b"data: " + orjson.dumps(value) + b"\n\n"


def choice_event(choice: dict[str, Any], **fields: Any) -> bytes:
    """Returns an event with one choice, and further fields beside the list of choices."""
    return encode({"choices": [{"index": 0, "finish_reason": None, **choice}], **fields})


def delta_event(**delta: Any) -> bytes:
    """Returns an event with one delta."""
    return choice_event({"delta": delta})


def function_event(**function: Any) -> bytes:
    """Returns an event with a piece of a tool call."""
    return delta_event(tool_calls=[{"index": 0, "id": "call_1", "type": "function", "function": function}])


class Effect(Enum):
    """What a form means for the answer."""

    TEXT = "a part of the answer"
    NOTHING = "known and without content"
    SPOILT = "spoilt"


@dataclass(frozen=True)
class Form:
    """One form of an event, as the bytes that the host writes."""

    name: str
    event: bytes
    effect: Effect


MORE_EVENT = delta_event(content=MORE)
STOP = choice_event({"delta": {}, "finish_reason": "stop"})
USAGE = encode({"choices": [], "usage": {"prompt_tokens": 8, "completion_tokens": 5, "total_tokens": 13}})
DONE = b"data: [DONE]\n\n"
MORE_JSON = MORE_EVENT.removeprefix(b"data: ").strip()
SPLIT_AT = MORE_JSON.index(b'"delta"')

TEXT_FORMS = tuple(
    Form(name, event, Effect.TEXT)
    for name, event in {
        "plain": MORE_EVENT,
        "CRLF line ends": b"data: " + MORE_JSON + b"\r\n\r\n",
        "data without a space": b"data:" + MORE_JSON + b"\n\n",
        "several data lines": b"data: " + MORE_JSON[:SPLIT_AT] + b"\ndata: " + MORE_JSON[SPLIT_AT:] + b"\n\n",
        "id, event and retry lines": b"id: 7\nevent: message\nretry: 10\ndata: " + MORE_JSON + b"\n\n",
        "unknown fields": choice_event({"delta": {"content": MORE, "x": [1]}, "y": {"z": None}}, v=5),
        "two events in a chunk": delta_event(content=MORE[:2]) + delta_event(content=MORE[2:]),
        "usage beside the choice": choice_event({"delta": {"content": MORE}}, usage={"prompt_tokens": 8}),
        "usage of a wrong type": choice_event({"delta": {"content": MORE}}, usage="none"),
        "no finish_reason": encode({"choices": [{"index": 0, "delta": {"content": MORE}}]}),
        "no index": encode({"choices": [{"delta": {"content": MORE}}]}),
        "null beside the text": delta_event(content=MORE, tool_calls=None, refusal=None, role=None),
    }.items()
)
EMPTY_FORMS = tuple(
    Form(name, event, Effect.NOTHING)
    for name, event in {
        "a comment": b": keep-alive\n\n",
        "an empty data line": b"data:\n\n",
        "a retry line": b"retry: 1000\n\n",
        "a ping object": b'event: ping\ndata: {"type":"ping"}\n\n',
        "an empty object": encode({}),
        "no choices": encode({"choices": []}),
        "choices null": encode({"id": "x", "choices": None}),
        "early usage": USAGE,
        "null usage": encode({"choices": [], "usage": None}),
        "an empty delta": delta_event(),
        "a role alone": delta_event(role="assistant", content=""),
        "null content": delta_event(content=None),
        "a null delta": choice_event({"delta": None}),
        "filter results without choices": encode({"choices": [], "prompt_filter_results": [{"index": 0}]}),
    }.items()
)
SPOILT_FORMS = tuple(
    Form(name, event, Effect.SPOILT)
    for name, event in {
        "JSON without its end": b"data: " + MORE_JSON[:-4] + b"\n\n",
        "JSON cut in the text": b'data: {"choices":[{"index":0,"delta":{"content":" mo\n\n',
        "no JSON": b"data: service unavailable\n\n",
        "bytes that are no UTF-8": b'data: {"choices":[{"delta":{"content":"\xff more"}}]}\n\n',
        "a list": encode([{"delta": {"content": MORE}}]),
        "a string": encode(MORE),
        "a number": encode(5),
        "null": encode(None),
        "choices of a wrong type": encode({"choices": {"delta": {"content": MORE}}}),
        "choices under another name": encode({"choises": [{"delta": {"content": MORE}}]}),
        "text outside of choices": encode({"content": MORE}),
        "a choice of a wrong type": encode({"choices": [MORE]}),
        "a null choice": encode({"choices": [None]}),
        "two choices": encode({"choices": [{"delta": {"content": "a"}}, {"delta": {"content": MORE}}]}),
        "a choice of another index": choice_event({"index": 1, "delta": {"content": MORE}}),
        "a delta of a wrong type": choice_event({"delta": MORE}),
        "no delta": encode({"choices": [{"index": 0, "dleta": {"content": MORE}}]}),
        "a message in place of the delta": choice_event({"message": {"content": MORE}}),
        "text in place of the delta": choice_event({"text": MORE}),
        "content that is a number": delta_event(content=5),
        "content that is a list": delta_event(content=[{"type": "text", "text": MORE}]),
        "a finish_reason that is a number": choice_event({"delta": {"content": MORE}, "finish_reason": 5}),
        "tool_calls of a wrong type": delta_event(tool_calls="x"),
        "a tool call of a wrong type": delta_event(tool_calls=["x"]),
        "a tool call's index of a wrong type": delta_event(tool_calls=[{"index": "a", "function": {}}]),
        "a tool call's function of a wrong type": delta_event(tool_calls=[{"index": 0, "function": "x"}]),
        "arguments of a wrong type": function_event(name="book", arguments={"to": "Ana"}),
        "a function's name of a wrong type": function_event(name=5, arguments="{}"),
        "nested too deeply": b'data: {"choices":[{"index":0,"delta":{"content":" more","x":'
        + b"[" * NESTING
        + b"]" * NESTING
        + b"}}]}\n\n",
        "an error object": encode({"error": {"message": "out of memory", "type": "server_error"}}),
        "an error text": encode({"error": "out of memory"}),
        "an error beside a choice": choice_event({"delta": {}}, error={"message": "out of memory"}),
        "an error event by name": b'event: error\ndata: {"message":"out of memory"}\n\n',
    }.items()
)
TOOL_FORMS = tuple(
    Form(name, event, Effect.NOTHING)
    for name, event in {
        "a tool call with null arguments": function_event(name="book", arguments=None)
        + function_event(arguments="{}"),
        "a tool call with a null index": delta_event(
            tool_calls=[{"index": None, "id": "call_1", "function": {"name": "book", "arguments": "{}"}}]
        ),
        "a tool call with null for a function": delta_event(tool_calls=[{"index": 0, "function": None}]),
        "a null among the tool calls": delta_event(tool_calls=[None]),
    }.items()
)
"""A null stands for a field that is left out; these add nothing to the text."""
FORMS = TEXT_FORMS + EMPTY_FORMS + TOOL_FORMS + SPOILT_FORMS


class Position(Enum):
    """Where in the answer the form stands."""

    FIRST = "first"
    BETWEEN = "between"
    LAST = "last before the end"
    AFTER_END = "after the end"


WORDS_BEFORE = {
    Position.FIRST: 0,
    Position.BETWEEN: 2,
    Position.LAST: len(WORDS),
    Position.AFTER_END: len(WORDS),
}


class Asked(Enum):
    """How the client asks for the answer; where it may not be repeated, its retry asks the other way."""

    STREAMED = "streamed"
    COMPLETE = "complete"


class Front(Enum):
    """The protocol of the client."""

    PLATFORM = "platform"
    CHAT = "chat"


class HostApi(Enum):
    """The protocol of the model host."""

    PLATFORM = "platform host"
    OPENAI = "chat host"


@dataclass(frozen=True)
class Cell:
    """One request and the answer that its host writes."""

    form: Form
    position: Position
    front: Front
    host_api: HostApi
    safe: bool
    asked: Asked

    @property
    def name(self) -> str:
        """Name of the cell, for the report."""
        request_class = "consulta" if self.safe else "orden"
        where = f"{self.form.name}, {self.position.value}"
        client = f"{self.front.value} front, {request_class}, {self.asked.value}"
        return f"{where}: {client}, {self.host_api.value}"

    @property
    def text(self) -> str:
        """The whole text of the answer."""
        before = WORDS_BEFORE[self.position]
        more = "" if self.form.effect is Effect.NOTHING else MORE
        return "".join((*WORDS[:before], more, *WORDS[before:]))

    def events(self, *, sound: bool) -> list[bytes]:
        """Returns what the host writes, a chunk each; `sound` has the form replaced by a sound event."""
        form = self.form.event
        if sound and self.form.effect is Effect.SPOILT:
            form = MORE_EVENT
        words = [delta_event(content=word) for word in WORDS]
        before = WORDS_BEFORE[self.position]
        match self.position:
            case Position.LAST:
                return [*words, STOP, form, USAGE, DONE]
            case Position.AFTER_END:
                return [*words, STOP, USAGE, DONE, form]
            case _:
                return [*words[:before], form, *words[before:], STOP, USAGE, DONE]


def all_cells(host_api: HostApi) -> Iterator[Cell]:
    """Yields every cell of hosts with this API."""
    for form in FORMS:
        for position in Position:
            for safe in (True, False):
                yield Cell(form, position, Front.PLATFORM, host_api, safe, Asked.STREAMED)
                for asked in Asked:
                    yield Cell(form, position, Front.CHAT, host_api, safe, asked)
