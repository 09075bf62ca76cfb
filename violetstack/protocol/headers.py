"""The platform's headers: a client's request, a model host's load report."""

from __future__ import annotations

import math
import re

import msgspec

from violetstack.policy_api import Request
from violetstack.protocol.http_server import Headers, HttpRequest, InvalidRequestError
from violetstack.protocol.json_errors import DECODE_ERRORS
from violetstack.settings import SettingsMessage

CHARS_A_TOKEN = 4
# The settings name report fields in the simulator's words; on the wire they may have these names.
WIRE_REPORT_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
REQUEST_ID = re.compile(r"[A-Za-z0-9._~-]{1,128}")  # it stands unescaped in the path of calls to hosts
DURATION_UNITS_MS = {"m": 1.0, "u": 0.001}
MAX_DURATION_DIGITS = 12
MAX_TOKEN_DIGITS = 9
MAX_WAIT_MS = 600_000.0  # no client waits longer for a first token
MAX_ANSWER_TOKENS = 100_000.0  # bounds the memory that one request can claim at a decode host
MAX_REPORTED_VALUE = 1e9
# Header fields of the platform's clients that are addressed to the dispatcher, or set anew for each attempt.
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
# Header fields that hold for one connection only, or describe the framing of its messages (RFC 9110, 7.6.1).
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
    """Milliseconds of `4800m` or `250000u`, at most `MAX_WAIT_MS`.

    Raises InvalidRequestError: required where a client states one, since without it no answer can be in time.
    """
    milliseconds = parse_duration_ms(text, default_unit="")
    if milliseconds is None:
        raise InvalidRequestError(400, f"{name} is a whole number and a unit, m or u")
    return min(MAX_WAIT_MS, milliseconds)


def parse_duration_ms(text: str, default_unit: str) -> float | None:
    """Milliseconds of a whole number and its unit (`m` or `u`); None if it cannot be read.

    `default_unit` is taken where the text is a number alone; empty: a unit is required.
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
    """Comma-separated `name=value` pairs, as in Req-Extra and Srv-Load; a pair without `=` has no value."""
    pairs = [part.partition("=") for part in text.split(",") if part.strip()]
    return {name.strip(): value.strip() for name, _, value in pairs}


def _advised_tokens(values: dict[str, str], name: str) -> float | None:
    """A number of tokens from `Req-Extra`; None where it is missing or cannot be read.

    Advisory: a length only steers routing, so an unreadable one is ignored and the request is served.
    """
    text = values.get(name, "")
    if not text.isascii() or not text.isdigit() or len(text) > MAX_TOKEN_DIGITS:
        return None
    return float(text)


def report_of(text: str | None, names: tuple[str, ...]) -> tuple[float | None, ...] | None:
    """The values of `TEXT inflight=7, util=0.61` in the order of `names`; None if it has none of them."""
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
    row = tuple(values.get(name, values.get(WIRE_REPORT_NAMES.get(name, ""))) for name in names)
    return row if any(value is not None for value in row) else None


def forwarded_headers(headers: dict[str, str]) -> Headers:
    """The client's fields that every attempt carries unchanged, such as `Idempotency-Key`.

    Fields that this proxy does not know are forwarded (RFC 9110, 5.1), but for those of one connection and
    those that the client's `Connection` names.
    """
    named = {name.strip().lower() for name in headers.get("connection", "").split(",")}
    kept_back = DISPATCHER_HEADERS | CONNECTION_HEADERS | named
    return [(name, value) for name, value in headers.items() if name not in kept_back]


def check_body(body: memoryview) -> None:
    """Raises InvalidRequestError for a body that is no JSON object.

    A model host would answer 400, which costs attempts and counts against the host.
    """
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except DECODE_ERRORS:
        raise InvalidRequestError(400, "the body is no JSON object") from None


class RequestReader:
    """Reads a client's headers into the module's request.

    What makes a request impossible to serve is rejected: no usable id, an unknown class or tenant, a
    deadline or a body that cannot be read. All else is advisory; what of it is missing, unknown or
    unreadable is ignored.
    """

    def __init__(self, settings_message: SettingsMessage) -> None:
        self.classes = {spec.name: n for n, spec in enumerate(settings_message.classes)}
        self.give_up = [spec.give_up for spec in settings_message.classes]
        self.tenants = {spec.name: n for n, spec in enumerate(settings_message.parties or ())}

    def read(self, inbound: HttpRequest) -> Request:
        """Raises InvalidRequestError if the request cannot be served."""
        headers = inbound.headers
        request_id = headers.get("req-id", "")
        if not REQUEST_ID.fullmatch(request_id):
            # Impossible to serve: calls to hosts name the request by its id.
            raise InvalidRequestError(400, "Req-Id is missing or no plain word")
        kind = headers.get("req-kind", "")
        if kind not in self.classes:
            # Impossible to serve: nothing says whether it may run twice.
            raise InvalidRequestError(400, "Req-Kind names no class of the settings")
        owner = headers.get("req-owner")
        if self.tenants and owner not in self.tenants:
            # Impossible to serve: no share of the capacity is set aside for it.
            raise InvalidRequestError(400, "Req-Owner names no tenant of the settings")
        cls = self.classes[kind]
        deadline = headers.get("req-deadline")
        check_body(inbound.body)
        values = parse_pairs(headers.get("req-extra", ""))
        retry = headers.get("req-retry")
        prompt = _prompt_tokens(values, len(inbound.body))
        return Request(
            id=request_id,
            class_index=cls,
            tenant_index=self.tenants.get(owner or "", 0),
            session=headers.get("req-key") or None,
            expires_in_ms=self.give_up[cls] if deadline is None else duration_ms(deadline),
            expected_answer_ms=_answer_hint_ms(headers.get("req-cost", "")),
            prefix_id=values.get("prefix") or None,
            prompt_tokens=prompt,
            prefix_tokens=min(prompt, _advised_tokens(values, "prefix_len") or 0.0),
            max_tokens=min(MAX_ANSWER_TOKENS, _advised_tokens(values, "max_out") or 0.0),
            is_retry=retry == "1",
            is_resumed=retry == "again",
        )


def _prompt_tokens(values: dict[str, str], body_size: int) -> float:
    """The advised prompt length, or an estimate from the body where the advice is absent or impossible."""
    advised = _advised_tokens(values, "prompt_len")
    if advised is None or advised > body_size:
        return float(body_size // CHARS_A_TOKEN)
    return advised


def _answer_hint_ms(text: str) -> float | None:
    """`Req-Cost`, a guess at the work in microseconds, in milliseconds; a unit may follow the number."""
    hint = parse_duration_ms(text, default_unit="u")
    return None if hint is None else min(MAX_WAIT_MS, hint)
