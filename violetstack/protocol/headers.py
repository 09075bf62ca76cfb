"""The platform's headers: what clients tell of a request, what model hosts tell of their load."""

from __future__ import annotations

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
UNITS = {"m": 1.0, "u": 0.001}


def duration_ms(text: str, name: str = "Req-Deadline") -> float:
    """`4800m` or `250000u`."""
    number, unit = text[:-1], text[-1:]
    if unit not in UNITS or not number.isascii() or not number.isdigit():
        raise Rejected(400, f"{name} is a whole number and a unit, m or u")
    return int(number) * UNITS[unit]


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
            values[name] = float(value)
        except ValueError:
            continue
    row = tuple(values.get(name, values.get(PLAIN_NAMES.get(name, ""))) for name in names)
    return row if any(value is not None for value in row) else None


class RequestReader:
    """Reads a client's headers into the module's request."""

    def __init__(self, facts: WFacts) -> None:
        self.classes = {spec.name: n for n, spec in enumerate(facts.classes)}
        self.give_up = [spec.give_up for spec in facts.classes]
        self.tenants = {spec.name: n for n, spec in enumerate(facts.parties or ())}

    def read(self, inbound: Inbound) -> t.Request:
        headers = inbound.headers
        request_id = headers.get("req-id", "")
        if not request_id or len(request_id) > 128 or not request_id.isascii() or "/" in request_id:
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
        return t.Request(
            id=request_id,
            cls=cls,
            tenant=self.tenants.get(owner or "", 0),
            session=headers.get("req-key") or None,
            expires_in_ms=self.give_up[cls] if deadline is None else duration_ms(deadline),
            answer_ms=duration_ms(hint, "Req-Cost") if hint else None,
            shared=values.get("prefix") or None,
            prompt_tokens=_count(values, "prompt_len", float(len(inbound.body) // CHARS_A_TOKEN)),
            shared_tokens=_count(values, "prefix_len", 0.0),
            max_tokens=_count(values, "max_out", 0.0),
            repeat=retry == "1",
            resumed=retry == "again",
        )
