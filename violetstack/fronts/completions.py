"""OpenAI's chat objects: what a client's body asks, the chunks of an answer, errors."""

from __future__ import annotations

from hashlib import sha256
from typing import Any

import msgspec
import orjson

from violetstack.protocol.headers import CHARS_A_TOKEN

MAX_CHOICES = 1


class Invalid(Exception):
    """The body can't be taken; the text is for the client."""

    def __init__(
        self, message: str, param: str | None = None, status: int = 400, code: str | None = None
    ) -> None:
        super().__init__(message)
        self.message = message
        self.param = param
        self.status = status
        self.code = code


def error_object(message: str, kind: str, param: str | None = None, code: str | None = None) -> bytes:
    return orjson.dumps({"error": {"message": message, "type": kind, "param": param, "code": code}})


def digest(*parts: Any) -> str:
    return sha256(orjson.dumps(parts, option=orjson.OPT_SORT_KEYS)).hexdigest()


class Ask(msgspec.Struct, frozen=True):
    """A checked body."""

    body: dict[str, Any]
    model: str
    stream: bool
    include_usage: bool
    messages: list[dict[str, Any]]
    prompt_tokens: int
    opening: str | None  # digest of the first message, where others may share it
    opening_tokens: int
    max_tokens: int | None
    conversation: str | None

    def identity(self, tenant: str) -> str:
        """What makes two requests the same order: tenant, conversation and messages."""
        return digest(tenant, self.conversation, self.messages)

    def same_body(self) -> str:
        """What one key stands for: all of the body but how the answer is delivered."""
        kept = {k: v for k, v in self.body.items() if k not in ("stream", "stream_options")}
        return digest(kept)

    def upstream(self, model: str, max_tokens: int) -> bytes:
        """The body for a model host: the answer always streams there, whatever the client asked."""
        body = {k: v for k, v in self.body.items() if k not in ("max_completion_tokens", "max_tokens")}
        body |= {"model": model, "stream": True, "stream_options": {"include_usage": True}}
        # The client's own name for the bound is kept: some hosts know only one of the two.
        name = "max_completion_tokens" if "max_completion_tokens" in self.body else "max_tokens"
        return orjson.dumps(body | {name: max_tokens})


def _text_length(content: Any, where: str) -> int:
    if content is None:
        return 0
    if isinstance(content, str):
        return len(content)
    if isinstance(content, list) and all(isinstance(part, dict) for part in content):
        return sum(len(part["text"]) for part in content if isinstance(part.get("text"), str))
    raise Invalid(f"{where}.content is neither text nor a list of parts", where)


def _messages(body: dict[str, Any]) -> tuple[list[dict[str, Any]], list[int]]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise Invalid("messages is a list of at least one message", "messages")
    lengths = []
    for n, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise Invalid(f"messages[{n}] is an object with a role", f"messages[{n}]")
        lengths.append(_text_length(message.get("content"), f"messages[{n}]"))
    return messages, lengths


def _bound(body: dict[str, Any]) -> int | None:
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise Invalid(f"{name} is a whole number of at least 1", name)
        return value
    return None


def _conversation(body: dict[str, Any]) -> str | None:
    metadata = body.get("metadata")
    found = metadata.get("conversation_id") if isinstance(metadata, dict) else None
    for value in (found, body.get("prompt_cache_key"), body.get("user")):
        if isinstance(value, str) and value:
            return value
    return None


def read_body(raw: memoryview) -> Ask:
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise Invalid(f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise Invalid("the body is a JSON object")
    if not isinstance(body.get("model"), str):
        raise Invalid("model is missing", "model")
    stream = body.get("stream") or False
    options = body.get("stream_options") or {}
    if not isinstance(stream, bool):
        raise Invalid("stream is true or false", "stream")
    if not isinstance(options, dict):
        raise Invalid("stream_options is an object", "stream_options")
    if body.get("n") not in (None, MAX_CHOICES):
        raise Invalid("only one choice a request (n = 1) is served here", "n")
    messages, lengths = _messages(body)
    shares = len(messages) > 1 and messages[0]["role"] in ("system", "developer")
    return Ask(
        body=body,
        model=body["model"],
        stream=stream,
        include_usage=bool(options.get("include_usage")),
        messages=messages,
        prompt_tokens=-(-sum(lengths) // CHARS_A_TOKEN),
        opening=digest(messages[0])[:16] if shares else None,
        opening_tokens=lengths[0] // CHARS_A_TOKEN if shares else 0,
        max_tokens=_bound(body),
        conversation=_conversation(body),
    )


class Answer:
    """One answer as it comes: a host's events in, OpenAI chunks out, the whole completion at the end."""

    def __init__(self, answer_id: str, model: str, created: int) -> None:
        self.id = answer_id
        self.model = model
        self.created = created
        self.choices: list[dict[str, Any]] = []  # each chunk's only choice
        self.usage: dict[str, Any] | None = None
        self.size = 0

    def add(self, data: bytes) -> dict[str, Any] | None:
        """The chunk that a host's event becomes; None for what is no part of the answer."""
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
        kind = "chat.completion.chunk"
        head = {"id": self.id, "object": kind, "created": self.created, "model": self.model}
        return {**head, "choices": choices, **more}

    def usage_chunk(self) -> dict[str, Any] | None:
        return self.chunk([], usage=self.usage) if self.usage is not None else None

    def whole(self) -> dict[str, Any]:
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
        whole = {"id": self.id, "object": "chat.completion", "created": self.created, "model": self.model}
        return {**whole, "choices": [choice], "usage": self.usage}

    def record(self) -> bytes:
        """For the idempotency store: enough to give the same answer again, streamed or whole."""
        head = {"id": self.id, "model": self.model, "created": self.created}
        return orjson.dumps({**head, "choices": self.choices, "usage": self.usage})

    @classmethod
    def recorded(cls, raw: bytes) -> Answer:
        kept = orjson.loads(raw)
        answer = cls(kept["id"], kept["model"], kept["created"])
        answer.choices = kept["choices"]
        answer.usage = kept["usage"]
        return answer


def _merge_calls(calls: dict[int, dict[str, Any]], parts: list[Any]) -> None:
    """Tool calls come in pieces: names once, arguments bit by bit."""
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
