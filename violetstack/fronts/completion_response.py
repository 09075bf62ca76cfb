"""The answer to an OpenAI chat completion request, as streamed chunks and as one complete object."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

import orjson

from violetstack.protocol.answer_events import AnswerEvent, Choice, check_stored_choice


def why_not_one_choice(choices: list[Choice]) -> str:
    """Returns why choices cannot be a piece of an answer of one choice; empty if they can."""
    if len(choices) > 1:
        return f"{len(choices)} choices in the answer to a request for one"
    for choice in choices:
        if isinstance(choice.index, int) and choice.index != 0:
            return f"a choice of index {choice.index} in the answer to a request for one"
        if choice.text and not choice.delta:
            return "a choice with text in place of a delta"
    return ""


class Completion:
    """Collects one answer from a host's events and returns it as OpenAI chunks or as one object."""

    def __init__(self, completion_id: str, model: str, created: int) -> None:
        self.id = completion_id
        self.model = model
        self.created = created
        self.usage: dict[str, Any] | None = None
        self._encoded_choices = bytearray()
        """The choice of each chunk, of which a chunk has only one, as a line of JSON.

        Decoded, the choice of an event of a few bytes would take some ten times as much memory.
        """

    @property
    def size(self) -> int:
        """Length in bytes of what is kept of the answer."""
        return len(self._encoded_choices)

    @property
    def has_choices(self) -> bool:
        """Whether any event was a part of the answer."""
        return bool(self._encoded_choices)

    def choices(self) -> Iterator[dict[str, Any]]:
        """Decodes the choice of each chunk."""
        for line in bytes(self._encoded_choices).splitlines():
            yield orjson.loads(line)

    def _keep_choice(self, choice: dict[str, Any]) -> None:
        self._encoded_choices += orjson.dumps(choice, option=orjson.OPT_APPEND_NEWLINE)

    def add(self, event: AnswerEvent) -> dict[str, Any] | None:
        """Adds an event of the host that can be read; returns its chunk, or None if it has no choice."""
        if event.usage is not None:
            self.usage = event.usage
        if not event.choices:
            return None
        choice = {**orjson.loads(event.data)["choices"][0], "index": 0}
        choice["delta"] = dict(choice.get("delta") or {})
        if not self.has_choices:
            choice["delta"].setdefault("role", "assistant")
        choice.setdefault("finish_reason", None)
        self._keep_choice(choice)
        return self.chunk([choice])

    def chunk(self, choices: list[dict[str, Any]], **extra_fields: Any) -> dict[str, Any]:
        """Returns a `chat.completion.chunk` object."""
        object_type = "chat.completion.chunk"
        common = {"id": self.id, "object": object_type, "created": self.created, "model": self.model}
        return {**common, "choices": choices, **extra_fields}

    def usage_chunk(self) -> dict[str, Any] | None:
        """Returns the chunk with the usage; None if the host has not sent it."""
        return self.chunk([], usage=self.usage) if self.usage is not None else None

    def complete(self) -> dict[str, Any]:
        """Returns the `chat.completion` object."""
        message: dict[str, Any] = {"role": "assistant", "content": None}
        calls: dict[int, dict[str, Any]] = {}
        finish_reason = None
        for choice in self.choices():
            finish_reason = choice["finish_reason"] or finish_reason
            for name, value in choice["delta"].items():
                if value is None or name == "role":
                    continue
                if name == "tool_calls":
                    _merge_tool_calls(calls, value)
                elif name == "function_call":
                    _merge_function(message.setdefault(name, {}), value)
                elif isinstance(value, str):
                    message[name] = (message.get(name) or "") + value
        if calls:
            message["tool_calls"] = [calls[n] for n in sorted(calls)]
        choice = {"index": 0, "message": message, "logprobs": None, "finish_reason": finish_reason or "stop"}
        common = {
            "id": self.id,
            "object": "chat.completion",
            "created": self.created,
            "model": self.model,
        }
        return {**common, "choices": [choice], "usage": self.usage}

    def record(self) -> bytes:
        """Encodes the answer for the idempotency store, to be sent again later, streamed or complete."""
        common = {"id": self.id, "model": self.model, "created": self.created}
        encoded = b"[%s]" % bytes(self._encoded_choices).removesuffix(b"\n").replace(b"\n", b",")
        return orjson.dumps({**common, "choices": orjson.Fragment(encoded), "usage": self.usage})

    @classmethod
    def from_record(cls, raw: bytes) -> Completion:
        """Decodes an answer that `record` encoded, maybe in an earlier release.

        Raises:
            InvalidChunkError: A part of the answer cannot be read.
        """
        stored = orjson.loads(raw)
        completion = cls(stored["id"], stored["model"], stored["created"])
        for choice in stored["choices"]:
            check_stored_choice(choice)
            completion._keep_choice(choice)
        completion.usage = stored["usage"]
        return completion


def _merge_tool_calls(calls: dict[int, dict[str, Any]], parts: list[dict[str, Any] | None]) -> None:
    """Merges pieces of tool calls into `calls`, by index; a piece without index has its place in the list."""
    for place, part in enumerate(parts):
        if part is None:
            continue
        index = part.get("index")
        call = calls.setdefault(place if index is None else index, {})
        for name, value in part.items():
            if value is None or name == "index":
                continue
            if name == "function":
                _merge_function(call.setdefault(name, {}), value)
            else:
                call[name] = value


def _merge_function(function: dict[str, Any], part: dict[str, Any]) -> None:
    """Merges a piece of a call: its name arrives once, its arguments as pieces of one text."""
    for name, value in part.items():
        if name == "arguments":
            function[name] = function.get(name, "") + (value or "")
        elif value is not None:
            function[name] = value
