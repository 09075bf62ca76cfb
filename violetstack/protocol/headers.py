"""Parses the headers of the platform's protocol: clients' requests and model hosts' load reports."""

from __future__ import annotations

import math
import re

import msgspec

from violetstack.policy_api import Request
from violetstack.protocol.http_server import Headers, HttpRequest, InvalidRequestError
from violetstack.protocol.json_errors import DECODE_ERRORS
from violetstack.settings import SettingsMessage

CHARS_PER_TOKEN = 4
# The settings name load report fields as the simulator does; hosts may send them under these names instead.
ALTERNATIVE_REPORT_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
REQUEST_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}")  # safe to use unescaped in the path of calls to hosts
DURATION_UNITS_MS = {"m": 1.0, "u": 0.001}
MAX_DURATION_DIGITS = 12
MAX_TOKEN_DIGITS = 9
MAX_WAIT_MS = 600_000.0  # longest time that a client waits for a first token
MAX_ANSWER_TOKENS = 100_000.0  # bounds the memory that one request can claim at a decode host
MAX_REPORTED_VALUE = 1e9
# Header fields of the platform's clients that are meant for the dispatcher, or set anew for each attempt.
DISPATCHER_HEADERS = frozenset(
    {
        "content-type",
        "req-cost",
        "req-deadline",
        "req-extra",
        "req-id",
        "req-key",
        "req-kind",
        "req-owner",
        "req-retry",
    }
)
# Header fields that apply to one connection only, or describe message framing (RFC 9110, 7.6.1).
CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def duration_ms(text: str, name: str = "Req-Deadline") -> float:
    """Parses a duration such as `4800m` or `250000u`; returns milliseconds, at most `MAX_WAIT_MS`.

    Raises:
        InvalidRequestError: It can't be parsed. A deadline that the client states is not ignored, since
            without it the answer might come too late.
    """
    milliseconds = parse_duration_ms(text, default_unit="")
    if milliseconds is None:
        raise InvalidRequestError(400, f"{name} is a whole number and a unit, m or u")
    return min(MAX_WAIT_MS, milliseconds)


def parse_duration_ms(text: str, default_unit: str) -> float | None:
    """Parses a whole number with a unit (`m` or `u`); returns milliseconds, None if it can't be parsed.

    `default_unit` is the unit of a number without one; if it is empty, the unit is required.
    """
    number, unit = (text[:-1], text[-1:]) if text[-1:] in DURATION_UNITS_MS else (text, default_unit)
    if (
        unit not in DURATION_UNITS_MS
        or not number.isascii()
        or not number.isdigit()
        or len(number) > MAX_DURATION_DIGITS
    ):
        return None
    return int(number) * DURATION_UNITS_MS[unit]


def parse_pairs(text: str) -> dict[str, str]:
    """Parses comma-separated `name=value` pairs, as in Req-Extra and Srv-Load.

    A name without `=` gets an empty value.
    """
    pairs = [part.partition("=") for part in text.split(",") if part.strip()]
    return {name.strip(): value.strip() for name, _, value in pairs}


def _stated_tokens(values: dict[str, str], name: str) -> float | None:
    """Returns a number of tokens from `Req-Extra`; None if it is missing or can't be parsed.

    The number is advisory, since it affects only the choice of hosts: an invalid one is ignored and the
    request is served.
    """
    text = values.get(name, "")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_TOKEN_DIGITS:
        return None
    return float(text)


def parse_load_report(text: str | None, names: tuple[str, ...]) -> tuple[float | None, ...] | None:
    """Parses a load report such as `TEXT inflight=7, util=0.61`.

    Returns the values in the order of `names`, or None if the report has none of them.
    """
    if not text or not names:
        return None
    _, _, fields = text.strip().partition(" ")
    values: dict[str, float] = {}
    for name, value in parse_pairs(fields).items():
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number) and 0.0 <= number <= MAX_REPORTED_VALUE:
            values[name] = number  # a NaN would make every comparison in the policy false
    report = tuple(values.get(name, values.get(ALTERNATIVE_REPORT_NAMES.get(name, ""))) for name in names)
    return report if any(value is not None for value in report) else None


def forwarded_headers(headers: dict[str, str]) -> Headers:
    """Returns the client's header fields that every attempt carries unchanged, such as `Idempotency-Key`.

    A proxy forwards fields that it does not know (RFC 9110, 5.1), except those that apply to one connection
    only and those that the client's `Connection` field names.
    """
    connection_options = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    excluded = DISPATCHER_HEADERS | CONNECTION_HEADERS | connection_options
    return [(name, value) for name, value in headers.items() if name not in excluded]


def check_is_json_object(body: memoryview) -> None:
    """Checks that a body is a JSON object.

    A model host would answer an invalid body with 400, which costs attempts and counts as the host's failure.

    Raises:
        InvalidRequestError: The body is not a JSON object.
    """
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        raise InvalidRequestError(400, "the body is no JSON object") from None


class RequestReader:
    """Converts a client's HTTP request to the policy's request.

    Requests that can't be served are rejected: those without a valid id, of an unknown class or tenant, or
    with an invalid deadline or body. All other fields are advisory and ignored if they are missing, unknown
    or invalid.
    """

    def __init__(self, settings_message: SettingsMessage) -> None:
        self.classes = {spec.name: n for n, spec in enumerate(settings_message.classes)}
        self.client_timeouts_ms = [spec.give_up for spec in settings_message.classes]
        self.tenants = {spec.name: n for n, spec in enumerate(settings_message.parties or ())}

    def read(self, inbound: HttpRequest) -> Request:
        """Returns the policy's request.

        Raises:
            InvalidRequestError: The request can't be served.
        """
        headers = inbound.headers
        request_id = headers.get("req-id", "")
        if not REQUEST_ID.fullmatch(request_id):
            # Can't be served: calls to hosts name the request by its id.
            raise InvalidRequestError(400, "Req-Id is missing or no plain word")
        kind = headers.get("req-kind", "")
        if kind not in self.classes:
            # Can't be served: the class says whether the request may run twice.
            raise InvalidRequestError(400, "Req-Kind names no class of the settings")
        owner = headers.get("req-owner")
        if self.tenants and owner not in self.tenants:
            # Can't be served: each tenant has its share of the capacity, and there is none for this one.
            raise InvalidRequestError(400, "Req-Owner names no tenant of the settings")
        class_index = self.classes[kind]
        deadline = headers.get("req-deadline")
        check_is_json_object(inbound.body)
        values = parse_pairs(headers.get("req-extra", ""))
        retry_mark = headers.get("req-retry")
        prompt_tokens = _prompt_tokens(values, len(inbound.body))
        return Request(
            id=request_id,
            class_index=class_index,
            tenant_index=self.tenants.get(owner or "", 0),
            session=headers.get("req-key") or None,
            expires_in_ms=self.client_timeouts_ms[class_index] if deadline is None else duration_ms(deadline),
            expected_answer_ms=_expected_answer_ms(headers.get("req-cost", "")),
            prefix_id=values.get("prefix") or None,
            prompt_tokens=prompt_tokens,
            prefix_tokens=min(prompt_tokens, _stated_tokens(values, "prefix_len") or 0.0),
            max_tokens=min(MAX_ANSWER_TOKENS, _stated_tokens(values, "max_out") or 0.0),
            is_retry=retry_mark == "1",
            is_resumed=retry_mark == "again",
        )


def _prompt_tokens(values: dict[str, str], body_size: int) -> float:
    """Returns the length that the client states, or an estimate from the body's size.

    A stated length of more tokens than the body has bytes is impossible and not used.
    """
    stated_tokens = _stated_tokens(values, "prompt_len")
    if stated_tokens is None or stated_tokens > body_size:
        return float(body_size // CHARS_PER_TOKEN)
    return stated_tokens


def _expected_answer_ms(text: str) -> float | None:
    """Parses `Req-Cost`, the client's estimate of the work; returns milliseconds.

    The number is in microseconds unless a unit follows it.
    """
    expected_ms = parse_duration_ms(text, default_unit="u")
    return None if expected_ms is None else min(MAX_WAIT_MS, expected_ms)
