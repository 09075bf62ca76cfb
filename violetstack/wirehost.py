"""Adapter for the operators' wire: JSON lines on standard input and output, one Router an instance.

It translates and nothing else; every decision is the module's (violetstack/router.py).
Run it with `python -m violetstack.wirehost`.
"""

from __future__ import annotations

import sys
from typing import Any, BinaryIO, TypeVar

import msgspec

from violetstack import interface as t
from violetstack.router import Router

T = TypeVar("T")


class _Wire(msgspec.Struct):
    """Unknown keys are ignored, an absent value is null."""


class WClass(_Wire):
    aim: float
    give_up: float
    idempotency: str = "read_like"
    group: str | None = None
    window: float | None = None
    value: float | None = None
    late_value: float | None = None
    aim_stretch: float | None = None


class WParty(_Wire):
    fraction: float | None = None
    allowance_per_s: float | None = None


class WFamily(_Wire):
    ahead: bool | None = None
    aim_us_per_1000_prompt_tokens: list[float] | None = None
    kv_tokens: list[float] | None = None
    local_read: bool | None = None
    release: float | None = None
    resume: bool | None = None
    stage_of_kind: list[str] | None = None
    token_aim: list[float] | None = None


class WLimits(_Wire):
    cancel: bool | None = None
    connect_timeout: float | None = None
    max_attempts: int | None = None
    max_retry_after: float | None = None
    may_duplicate: bool | None = None
    probes: bool | None = None
    retry_after: bool | None = None


class WRules(_Wire):
    cold: float | None = None
    cold_share: float | None = None
    fall: float | None = None
    fall_multiple: float | None = None
    grace_to_answer: float | None = None
    must_ask_in: float | None = None


class WReport(_Wire):
    how: str | None = None
    names: list[str] | None = None


class WFacts(_Wire):
    classes: list[WClass]
    fleet_size: int = 1
    me: int = 0
    zone: int = 0
    kinds: list[str] | None = None
    parties: list[WParty] | None = None
    over_share_worth: float | None = None
    family_info: WFamily | None = None
    limits: WLimits | None = None
    rules: WRules | None = None
    report: WReport | None = None
    membership_mode: str | None = None


class _Event(_Wire, tag_field="op"):
    pass


class WUp(_Event, tag="up"):
    i: str
    rng_seed: int
    facts: WFacts


class WEntry(_Wire):
    engine: str
    pod: int = 0
    heft: float | None = None
    rack_zone: int = 0
    stage_state: str = "healthy"
    hw: int = 0
    online_since: float | None = None


class WList(_Event, tag="define_list"):
    page: int
    nodes_list: list[WEntry]


class WAnnounce(_Event, tag="announce"):
    i: str
    scope: str
    page: int | None = None
    seq_no: int | None = None


class WWorkItem(_Event, tag="work_item"):
    i: str
    handle: str
    expires_in: float
    priority: int = 0
    customer: int | None = None
    talk: str | None = None
    weight_hint: float | None = None
    shared_prefix: str | None = None
    prompt_tokens: float | None = None
    prefix_tokens: float | None = None
    n_max: float | None = None
    flags: int | None = None


class WPong(_Event, tag="pong"):
    i: str
    engine: str
    ending: str
    took: float | None = None
    load: list[float | None] | None = None


class WBegun(_Event, tag="begun"):
    i: str
    handle: str
    engine: str
    n: int
    took: float | None = None


class WElapsed(_Event, tag="elapsed"):
    i: str
    token: str


class WAhead(_Event, tag="answer_ahead"):
    i: str
    handle: str
    engine: str
    topic: int
    n: int = 0


class WInbox(_Event, tag="inbox"):
    i: str
    src_peer: int
    blob: str


class WKilled(_Event, tag="killed"):
    i: str


class WLeft(_Event, tag="left"):
    i: str
    handle: str


class WResolved(_Event, tag="resolved"):
    i: str
    handle: str
    n: int
    engine: str
    ending: str
    took: float | None = None
    settled: bool | None = None
    detail: int | None = None
    load: list[float | None] | None = None


WEvent = (
    WUp | WList | WAnnounce | WWorkItem | WPong | WBegun
    | WElapsed | WAhead | WInbox | WKilled | WLeft | WResolved
)


class WBatch(_Wire):
    now: float
    turn: int
    arrivals: list[WEvent]


_EFFECT = {
    "read_like": t.Effect.SAFE,
    "idempotency_key": t.Effect.KEYED,
    "non_idempotent": t.Effect.UNSAFE,
}
_STATUS = {
    "pass": t.Status.OK,
    "fault": t.Status.ERROR,
    "no_room": t.Status.FULL,
    "too_slow": t.Status.TIMEOUT,
    "no_route": t.Status.CONNECT_FAILED,
    "cut": t.Status.RESET,
    "undone": t.Status.CANCELLED,
    "stale_send": t.Status.MOOT,
    "ready_to_answer": t.Status.READ,
}
_STATE = {
    "healthy": t.ServerState.HEALTHY,
    "cordoned": t.ServerState.DRAINING,
    "deregistered": t.ServerState.GONE,
}
_SCOPE = {
    "incr": t.ListScope.DELTA,
    "total": t.ListScope.FULL,
    "warm_copy": t.ListScope.CACHED,
    "lost": t.ListScope.FAILED,
}


class Malformed(Exception):
    """The other side sent something the wire does not allow."""


def _word(table: dict[str, T], word: str, field: str) -> T:
    if word not in table:
        raise Malformed(f"unknown {field} {word!r}")
    return table[word]


def _nth(values: list[float] | None, index: int) -> float:
    return values[index] if values is not None and index < len(values) else 0.0


def _class(spec: WClass, index: int, family: WFamily) -> t.ClassSpec:
    try:
        group = t.Group(spec.group or "all")
    except ValueError:
        raise Malformed(f"unknown group {spec.group!r}") from None
    return t.ClassSpec(
        aim_ms=spec.aim,
        give_up_ms=spec.give_up,
        effect=_word(_EFFECT, spec.idempotency, "idempotency"),
        group=group,
        window_ms=spec.window or 0.0,
        value=1.0 if spec.value is None else spec.value,
        late_value=spec.late_value or 0.0,
        aim_ms_per_1000_tokens=_nth(family.aim_us_per_1000_prompt_tokens, index) / 1000.0,
        aim_stretch=spec.aim_stretch or 0.0,
        token_aim_ms=_nth(family.token_aim, index),
    )


def settings_of(up: WUp) -> t.Settings:
    """The start-up facts as the module's settings; what is absent gets the mildest reading."""
    facts = up.facts
    family, limits = facts.family_info or WFamily(), facts.limits or WLimits()
    rules, report = facts.rules or WRules(), facts.report or WReport()
    stages = family.stage_of_kind or ["both"] * max(1, len(facts.kinds or []))
    try:
        roles = tuple(t.Role(word) for word in stages)
    except ValueError as error:
        raise Malformed(f"unknown stage_of_kind: {error}") from None
    names = tuple(report.names or ()) if report.how in ("inline", "on_probe") else ()
    return t.Settings(
        seed=up.rng_seed,
        me=facts.me,
        fleet_size=max(1, facts.fleet_size),
        zone=facts.zone,
        classes=tuple(_class(spec, index, family) for index, spec in enumerate(facts.classes)),
        tenants=tuple(t.TenantSpec(p.fraction or 0.0, p.allowance_per_s or 0.0) for p in facts.parties or ()),
        over_share_worth=1.0 if facts.over_share_worth is None else facts.over_share_worth,
        roles=roles,
        memory_tokens=tuple(family.kv_tokens or ()),
        ahead=bool(family.ahead),
        local_read=bool(family.local_read),
        resume=bool(family.resume),
        release_ms=family.release or 0.0,
        max_attempts=limits.max_attempts or 1,
        may_cancel=bool(limits.cancel),
        may_duplicate=bool(limits.may_duplicate),
        may_probe=bool(limits.probes),
        retry_after=bool(limits.retry_after),
        max_retry_after_ms=limits.max_retry_after or 0.0,
        connect_timeout_ms=limits.connect_timeout or 0.0,
        must_ask=facts.membership_mode == "subscribe",
        must_ask_in_ms=rules.must_ask_in or 0.0,
        report_names=names,
        reports_on_probe=report.how == "on_probe",
        cold_share=1.0 if rules.cold_share is None else rules.cold_share,
        cold_ms=rules.cold or 0.0,
        fall_ms=rules.fall or 0.0,
        fall_multiple=rules.fall_multiple or 0.0,
        grace_to_answer_ms=rules.grace_to_answer or 0.0,
    )


def _entry(row: WEntry) -> t.Entry:
    return t.Entry(
        server=row.engine,
        cell=row.pod,
        weight=1.0 if row.heft is None else row.heft,
        zone=row.rack_zone,
        state=_word(_STATE, row.stage_state, "stage_state"),
        kind=row.hw,
        started_ms=row.online_since or None,
    )


def _row(load: list[float | None] | None) -> tuple[float | None, ...] | None:
    return tuple(load) if load is not None else None


def _request(w: WWorkItem) -> t.Request:
    flags = w.flags or 0
    return t.Request(
        id=w.handle,
        cls=w.priority,
        tenant=w.customer or 0,
        session=w.talk or None,
        expires_in_ms=w.expires_in,
        answer_ms=w.weight_hint if flags & 1 else None,
        shared=w.shared_prefix or None,
        prompt_tokens=w.prompt_tokens or 0.0,
        shared_tokens=w.prefix_tokens or 0.0,
        max_tokens=w.n_max or 0.0,
        repeat=bool(flags & 2),
        resumed=bool(flags & 16),
    )


def _outcome(w: WResolved) -> t.Outcome:
    status = _word(_STATUS, w.ending, "ending")
    return t.Outcome(
        w.handle, w.engine, w.n, status, w.took or 0.0, bool(w.settled), w.detail or 0, _row(w.load)
    )


def event_of(w: Any, pages: dict[int, tuple[t.Entry, ...]]) -> t.Event:
    """One wire event as the module's type; `pages` holds the numbered lists as of this event."""
    match w:
        case WAnnounce():
            scope = _word(_SCOPE, w.scope, "scope")
            entries: tuple[t.Entry, ...] = ()
            if scope is not t.ListScope.FAILED:
                if w.page not in pages:
                    raise Malformed(f"announce names page {w.page}, which was never defined")
                entries = pages[w.page]
            return t.ListNews(scope, entries, w.seq_no or 0)
        case WWorkItem():
            return _request(w)
        case WBegun():
            return t.Begun(w.handle, w.engine, w.n, w.took or 0.0)
        case WResolved():
            return _outcome(w)
        case WAhead():
            return t.PlaceNote(w.handle, w.engine, w.n, w.topic == 1)
        case WLeft():
            return t.Left(w.handle)
        case WElapsed():
            return t.TimerDue(w.token)
        case WPong():
            return t.Probed(w.engine, _word(_STATUS, w.ending, "ending"), w.took or 0.0, _row(w.load))
        case WInbox():
            try:
                return t.PeerMessage(w.src_peer, bytes.fromhex(w.blob))
            except ValueError:
                raise Malformed("inbox blob is not hex") from None
    raise Malformed(f"unexpected event {w!r}")


def row_of(instance: str, action: t.Action) -> dict[str, Any]:
    """One action of the module as a wire row."""
    body: dict[str, Any]
    match action:
        case t.Send():
            body = {"op": "assign", "handle": action.id, "engine": action.server}
            body["stop_at"] = action.stop_at_ms
        case t.HoldPlace():
            body = {"op": "pre_pair", "handle": action.id, "engine": action.server}
        case t.Release():
            body = {"op": "unhold", "handle": action.id}
        case t.Cancel():
            body = {"op": "withdraw", "handle": action.id, "n": action.attempt}
        case t.Refuse():
            body = {"op": "decline", "handle": action.id, "stay_away": action.retry_after_ms}
        case t.Fail():
            body = {"op": "abort", "handle": action.id}
        case t.Move():
            body = {"op": "bounce", "handle": action.id}
        case t.Timer():
            body = {"op": "remind", "after": action.after_ms, "token": action.token}
        case t.Watch():
            body = {"op": "stream_changes", "enable": action.on}
        case t.FetchList():
            body = {"op": "snapshot"}
        case t.Probe():
            body = {"op": "poll", "engine": action.server}
        case t.Log():
            body = {"op": "emit", "msg": action.text}
    return {**body, "i": instance}


class Host:
    """Spreads batches over the instances; each has its own Router and its own share of the events."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.pages: dict[int, tuple[t.Entry, ...]] = {}

    def batch(self, batch: WBatch) -> list[dict[str, Any]]:
        """Answer one batch; an instance's consecutive events go to its Router in one call."""
        queued: dict[str, list[t.Event]] = {}
        rows: list[dict[str, Any]] = []
        for w in batch.arrivals:
            if isinstance(w, WList):
                self.pages[w.page] = tuple(_entry(row) for row in w.nodes_list)
            elif isinstance(w, WKilled):
                queued.pop(w.i, None)
                self.routers.pop(w.i, None)
            elif isinstance(w, WUp):
                queued[w.i] = []
                self.routers[w.i] = Router(settings_of(w))
            elif w.i in self.routers:
                queued.setdefault(w.i, []).append(event_of(w, self.pages))
        for instance, events in queued.items():
            rows.extend(self._handle(instance, batch.now, events))
        return rows

    def _handle(self, instance: str, now: float, events: list[t.Event]) -> list[dict[str, Any]]:
        try:
            actions = self.routers[instance].handle(now, events)
        except Exception as error:
            print(f"decision code failed for {instance}: {error!r}", file=sys.stderr)
            return [{"op": "fault", "i": instance, "msg": f"{type(error).__name__}: {error}"[:400]}]
        return [row_of(instance, action) for action in actions]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch by batch until the end of input."""
    decoder, encoder, host = msgspec.json.Decoder(WBatch), msgspec.json.Encoder(), Host()
    for number, line in enumerate(source, 1):
        try:
            batch = decoder.decode(line)
            rows = host.batch(batch)
        except (msgspec.MsgspecError, Malformed, UnicodeDecodeError) as error:
            raise Malformed(f"line {number}: {error}") from None
        sink.write(encoder.encode({"turn": batch.turn, "actions": rows}) + b"\n")
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except Malformed as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
