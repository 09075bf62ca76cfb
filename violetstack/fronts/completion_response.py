"""The answer to an OpenAI chat completion request, as chunks and as one object."""

from __future__ import annotations

from typing import Any

import orjson


class Completion:
    """One answer as it arrives: a host's events in, OpenAI chunks out, the complete object at the end."""

    def __init__(self, completion_id: str, model: str, created: int) -> None:
        self.id = completion_id
        self.model = model
        self.created = created
        self.choices: list[dict[str, Any]] = []
        """Each chunk's only choice."""
        self.usage: dict[str, Any] | None = None
        self.size = 0
        """Bytes of the events that were added."""

    def add(self, data: bytes) -> dict[str, Any] | None:
        """The chunk for a host's event; None if it is no part of the answer."""
        try:
            event = orjson.loads(data)
        except orjson.JSONDecodeError:
            return None
        if not isinstance(event, dict):
            return None
        if isinstance(event.get("usage"), dict):
            self.usage = event["usage"]
        choices = event.get("choices")
        if not isinstance(choices, list) or not choices or not isinstance(choices[0], dict):
            return None
        choice = {**choices[0], "index": 0}
        delta = choice.get("delta")
        choice["delta"] = dict(delta) if isinstance(delta, dict) else {}
        if not self.choices:
            choice["delta"].setdefault("role", "assistant")
        choice.setdefault("finish_reason", None)
        self.size += len(data)
        self.choices.append(choice)
        return self.chunk([choice])

    def chunk(self, choices: list[dict[str, Any]], **more: Any) -> dict[str, Any]:
        """A `chat.completion.chunk` object."""
        kind = "chat.completion.chunk"
        head = {"id": self.id, "object": kind, "created": self.created, "model": self.model}
        return {**head, "choices": choices, **more}

    def usage_chunk(self) -> dict[str, Any] | None:
        """The chunk with the usage, if the host has told it."""
        return self.chunk([], usage=self.usage) if self.usage is not None else None

    def complete(self) -> dict[str, Any]:
        """The `chat.completion` object."""
        message: dict[str, Any] = {"role": "assistant", "content": None}
        calls: dict[int, dict[str, Any]] = {}
        finish = None
        for choice in self.choices:
            finish = choice["finish_reason"] or finish
            for name, value in choice["delta"].items():
                if name == "tool_calls" and isinstance(value, list):
                    _merge_calls(calls, value)
                elif isinstance(value, str) and name != "role":
                    message[name] = (message.get(name) or "") + value
        if calls:
            message["tool_calls"] = [calls[n] for n in sorted(calls)]
        choice = {"index": 0, "message": message, "logprobs": None, "finish_reason": finish or "stop"}
        head = {"id": self.id, "object": "chat.completion", "created": self.created, "model": self.model}
        return {**head, "choices": [choice], "usage": self.usage}

    def record(self) -> bytes:
        """For the idempotency store: the same answer can be given again, streamed or complete."""
        head = {"id": self.id, "model": self.model, "created": self.created}
        return orjson.dumps({**head, "choices": self.choices, "usage": self.usage})

    @classmethod
    def from_record(cls, raw: bytes) -> Completion:
        """Reads what `record` wrote."""
        stored = orjson.loads(raw)
        completion = cls(stored["id"], stored["model"], stored["created"])
        completion.choices = stored["choices"]
        completion.usage = stored["usage"]
        return completion


def _merge_calls(calls: dict[int, dict[str, Any]], parts: list[Any]) -> None:
    """Tool calls arrive in pieces: a name once, its arguments in parts."""
    for part in parts:
        if not isinstance(part, dict):
            continue
        call = calls.setdefault(int(part.get("index", 0)), {})
        for name, value in part.items():
            if name == "function" and isinstance(value, dict):
                function = call.setdefault("function", {})
                for key, text in value.items():
                    if key == "arguments" and isinstance(text, str):
                        function[key] = function.get(key, "") + text
                    else:
                        function[key] = text
            elif name != "index":
                call[name] = value
