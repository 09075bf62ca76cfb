"""The platform's headers: what clients tell of a request, what model hosts tell of their load."""

from __future__ import annotations

import math
import re

import msgspec

from violetstack import interface as t
from violetstack.facts import WFacts
from violetstack.protocol.server_side import Inbound, Rejected

CHARS_A_TOKEN = 4
# The settings name report fields in the simulator's words; on the wire they may come in the plain ones.
PLAIN_NAMES = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "qps",
    "fail_rate": "eps",
}
PLAIN_WORD = re.compile(r"[A-Za-z0-9._~-]{1,128}")  # it stands in the path of calls to hosts as it is
UNITS = {"m": 1.0, "u": 0.001}
MAX_DIGITS = 12  # of a duration
MAX_WAIT_MS = 600_000.0  # nobody waits longer for a first token; bounds what an odd deadline can hold
MAX_ANSWER_TOKENS = 100_000.0  # bounds what an odd request can claim of a writer's memory
MAX_REPORTED = 1e9


def duration_ms(text: str, name: str = "Req-Deadline") -> float:
    """`4800m` or `250000u`."""
    number, unit = text[:-1], text[-1:]
    if unit not in UNITS or not number.isascii() or not number.isdigit() or len(number) > MAX_DIGITS:
        raise Rejected(400, f"{name} is a whole number and a unit, m or u")
    return min(MAX_WAIT_MS, int(number) * UNITS[unit])


def extras(text: str) -> dict[str, str]:
    pairs = [part.partition("=") for part in text.split(",") if part.strip()]
    return {name.strip(): value.strip() for name, _, value in pairs}


def _count(values: dict[str, str], name: str, default: float) -> float:
    text = values.get(name)
    if text is None:
        return default
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise Rejected(400, f"Req-Extra: {name} is not a number of tokens")
    return float(text)


def report_of(text: str | None, names: tuple[str, ...]) -> tuple[float | None, ...] | None:
    """`TEXT inflight=7, util=0.61` in the order of the settings; None if nothing of it is known."""
    if not text or not names:
        return None
    _, _, fields = text.strip().partition(" ")
    values: dict[str, float] = {}
    for name, value in extras(fields).items():
        try:
            number = float(value)
        except ValueError:
            continue
        if math.isfinite(number) and 0.0 <= number <= MAX_REPORTED:
            values[name] = number  # guards the decisions: one NaN would spoil every comparison
    row = tuple(values.get(name, values.get(PLAIN_NAMES.get(name, ""))) for name in names)
    return row if any(value is not None for value in row) else None


def check_body(body: memoryview) -> None:
    """What a host would refuse is refused here: its 400 would cost attempts, and blame at good hosts."""
    try:
        msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except (msgspec.MsgspecError, ValueError):
        raise Rejected(400, "the body is no JSON object") from None


class RequestReader:
    """Reads a client's headers into the module's request."""

    def __init__(self, facts: WFacts) -> None:
        self.classes = {spec.name: n for n, spec in enumerate(facts.classes)}
        self.give_up = [spec.give_up for spec in facts.classes]
        self.tenants = {spec.name: n for n, spec in enumerate(facts.parties or ())}

    def read(self, inbound: Inbound) -> t.Request:
        headers = inbound.headers
        request_id = headers.get("req-id", "")
        if not PLAIN_WORD.fullmatch(request_id):
            raise Rejected(400, "Req-Id is missing or no plain word")
        kind = headers.get("req-kind", "")
        if kind not in self.classes:
            raise Rejected(400, "Req-Kind names no class of the settings")
        owner = headers.get("req-owner")
        if self.tenants and owner not in self.tenants:
            raise Rejected(400, "Req-Owner names no tenant of the settings")
        cls = self.classes[kind]
        deadline = headers.get("req-deadline")
        values = extras(headers.get("req-extra", ""))
        retry = headers.get("req-retry")
        hint = headers.get("req-cost")
        check_body(inbound.body)
        size = float(len(inbound.body))
        prompt = _count(values, "prompt_len", size // CHARS_A_TOKEN)
        if prompt > size:
            raise Rejected(400, "Req-Extra: prompt_len is more than the body can hold")
        return t.Request(
            id=request_id,
            cls=cls,
            tenant=self.tenants.get(owner or "", 0),
            session=headers.get("req-key") or None,
            expires_in_ms=self.give_up[cls] if deadline is None else duration_ms(deadline),
            answer_ms=duration_ms(hint, "Req-Cost") if hint else None,
            shared=values.get("prefix") or None,
            prompt_tokens=prompt,
            shared_tokens=min(prompt, _count(values, "prefix_len", 0.0)),
            max_tokens=min(MAX_ANSWER_TOKENS, _count(values, "max_out", 0.0)),
            repeat=retry == "1",
            resumed=retry == "again",
        )
