"""Validates the body of an OpenAI chat completion request and builds the body for model hosts."""

from __future__ import annotations

from hashlib import sha256
from typing import Any

import msgspec
import orjson

from violetstack.fronts.chat_errors import InvalidChatRequestError
from violetstack.protocol.headers import CHARS_PER_TOKEN

MAX_CHOICES = 1
PREFIX_ID_LENGTH = 16


def _digest(*parts: Any) -> str:
    return sha256(orjson.dumps(parts, option=orjson.OPT_SORT_KEYS)).hexdigest()


class CompletionRequest(msgspec.Struct, frozen=True):
    """A validated request body.

    `prefix_id` is a digest of the first message if that is one that other conversations may share, such as
    a system prompt. Lengths in tokens are estimated from the number of characters.
    """

    body: dict[str, Any]
    model: str
    stream: bool
    include_usage: bool
    messages: list[dict[str, Any]]
    prompt_tokens: int
    prefix_id: str | None
    prefix_tokens: int
    max_tokens: int | None
    conversation: str | None

    def identity(self, tenant: str) -> str:
        """Returns a digest that is equal for requests with the same tenant, conversation and messages."""
        return _digest(tenant, self.conversation, self.messages)

    def body_digest(self) -> str:
        """Returns a digest that is equal for bodies that differ at most in how the answer is delivered."""
        request_fields = {k: v for k, v in self.body.items() if k not in ("stream", "stream_options")}
        return _digest(request_fields)

    def upstream_body(self, model: str, max_tokens: int) -> bytes:
        """Returns the body for a model host; every answer is requested as a stream."""
        body = {k: v for k, v in self.body.items() if k not in ("max_completion_tokens", "max_tokens")}
        body |= {"model": model, "stream": True, "stream_options": {"include_usage": True}}
        # Some hosts know only one of the two names, so the name that the client uses is kept.
        name = "max_completion_tokens" if "max_completion_tokens" in self.body else "max_tokens"
        return orjson.dumps(body | {name: max_tokens})


def _text_length(content: Any, param: str) -> int:
    if content is None:
        return 0
    if isinstance(content, str):
        return len(content)
    if isinstance(content, list) and all(isinstance(part, dict) for part in content):
        return sum(len(part["text"]) for part in content if isinstance(part.get("text"), str))
    raise InvalidChatRequestError(f"{param}.content is neither text nor a list of parts", param)


def _messages(body: dict[str, Any]) -> tuple[list[dict[str, Any]], list[int]]:
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        raise InvalidChatRequestError("messages is a list of at least one message", "messages")
    lengths = []
    for n, message in enumerate(messages):
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            raise InvalidChatRequestError(f"messages[{n}] is an object with a role", f"messages[{n}]")
        lengths.append(_text_length(message.get("content"), f"messages[{n}]"))
    return messages, lengths


def _token_limit(body: dict[str, Any]) -> int | None:
    for name in ("max_completion_tokens", "max_tokens"):
        value = body.get(name)
        if value is None:
            continue
        if not isinstance(value, int) or isinstance(value, bool) or value < 1:
            raise InvalidChatRequestError(f"{name} is a whole number of at least 1", name)
        return value
    return None


def _conversation(body: dict[str, Any]) -> str | None:
    metadata = body.get("metadata")
    conversation_id = metadata.get("conversation_id") if isinstance(metadata, dict) else None
    for value in (conversation_id, body.get("prompt_cache_key"), body.get("user")):
        if isinstance(value, str) and value:
            return value
    return None


def read_completion_request(raw: memoryview) -> CompletionRequest:
    """Validates a request body.

    Raises:
        InvalidChatRequestError: The body is invalid; the error names the parameter.
    """
    try:
        body = orjson.loads(raw)
    except orjson.JSONDecodeError as error:
        raise InvalidChatRequestError(f"the body is not JSON: {error}") from None
    if not isinstance(body, dict):
        raise InvalidChatRequestError("the body is a JSON object")
    if not isinstance(body.get("model"), str):
        raise InvalidChatRequestError("model is missing", "model")
    stream = body.get("stream") or False
    options = body.get("stream_options") or {}
    if not isinstance(stream, bool):
        raise InvalidChatRequestError("stream is true or false", "stream")
    if not isinstance(options, dict):
        raise InvalidChatRequestError("stream_options is an object", "stream_options")
    if body.get("n") not in (None, MAX_CHOICES):
        raise InvalidChatRequestError("only one choice a request (n = 1) is served here", "n")
    messages, lengths = _messages(body)
    shares_prefix = len(messages) > 1 and messages[0]["role"] in ("system", "developer")
    return CompletionRequest(
        body=body,
        model=body["model"],
        stream=stream,
        include_usage=bool(options.get("include_usage")),
        messages=messages,
        prompt_tokens=-(-sum(lengths) // CHARS_PER_TOKEN),
        prefix_id=_digest(messages[0])[:PREFIX_ID_LENGTH] if shares_prefix else None,
        prefix_tokens=lengths[0] // CHARS_PER_TOKEN if shares_prefix else 0,
        max_tokens=_token_limit(body),
        conversation=_conversation(body),
    )
