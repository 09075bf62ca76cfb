"""Adapter for the operators' wire: JSON lines on standard input and output, one Router an instance.

It translates and nothing else; every decision is the module's (violetstack/router.py).
Run it with `python -m violetstack.simulator_adapter`.
"""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import msgspec

from violetstack.policy_api import (
    Action,
    AttemptFinished,
    AttemptStatus,
    CancelAttempt,
    ClientDisconnected,
    Endpoint,
    EndpointState,
    EndpointUpdate,
    Event,
    FailRequest,
    FetchEndpoints,
    GossipReceived,
    HealthCheckResult,
    MigrateStream,
    RejectRequest,
    ReleaseState,
    Request,
    ReservationResult,
    ReserveDecodeSlot,
    SendAttempt,
    SendGossip,
    SendHealthCheck,
    SetWatch,
    StartTimer,
    StreamStarted,
    TimerFired,
    UpdateScope,
    WriteLog,
)
from violetstack.router import Router
from violetstack.settings import Message, MessageError, SettingsMessage, decode_settings, look_up


class _Event(Message, tag_field="op"):
    pass


class WUp(_Event, tag="up"):
    i: str
    rng_seed: int
    facts: SettingsMessage


class WEntry(Message):
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
    WUp
    | WList
    | WAnnounce
    | WWorkItem
    | WPong
    | WBegun
    | WElapsed
    | WAhead
    | WInbox
    | WKilled
    | WLeft
    | WResolved
)


class WBatch(Message):
    now: float
    turn: int
    arrivals: list[WEvent]


_STATUS = {
    "pass": AttemptStatus.OK,
    "fault": AttemptStatus.ERROR,
    "no_room": AttemptStatus.REJECTED,
    "too_slow": AttemptStatus.TIMEOUT,
    "no_route": AttemptStatus.CONNECT_FAILED,
    "cut": AttemptStatus.RESET,
    "undone": AttemptStatus.CANCELLED,
    "stale_send": AttemptStatus.ALREADY_FINISHED,
    "ready_to_answer": AttemptStatus.PREFILLED,
}
_STATE = {
    "healthy": EndpointState.HEALTHY,
    "cordoned": EndpointState.DRAINING,
    "deregistered": EndpointState.REMOVED,
}
_SCOPE = {
    "incr": UpdateScope.DELTA,
    "total": UpdateScope.SNAPSHOT,
    "warm_copy": UpdateScope.CACHED,
    "lost": UpdateScope.FAILED,
}


def _entry(row: WEntry) -> Endpoint:
    return Endpoint(
        server=row.engine,
        cell=row.pod,
        weight=1.0 if row.heft is None else row.heft,
        zone=row.rack_zone,
        state=look_up(_STATE, row.stage_state, "stage_state"),
        kind=row.hw,
        started_ms=row.online_since or None,
    )


def _row(load: list[float | None] | None) -> tuple[float | None, ...] | None:
    return tuple(load) if load is not None else None


def _request(w: WWorkItem) -> Request:
    flags = w.flags or 0
    return Request(
        id=w.handle,
        class_index=w.priority,
        tenant_index=w.customer or 0,
        session=w.talk or None,
        expires_in_ms=w.expires_in,
        expected_answer_ms=w.weight_hint if flags & 1 else None,
        prefix_id=w.shared_prefix or None,
        prompt_tokens=w.prompt_tokens or 0.0,
        prefix_tokens=w.prefix_tokens or 0.0,
        max_tokens=w.n_max or 0.0,
        is_retry=bool(flags & 2),
        is_resumed=bool(flags & 16),
    )


def _outcome(w: WResolved) -> AttemptFinished:
    status = look_up(_STATUS, w.ending, "ending")
    return AttemptFinished(
        w.handle, w.engine, w.n, status, w.took or 0.0, bool(w.settled), w.detail or 0, _row(w.load)
    )


def event_of(w: Any, pages: dict[int, tuple[Endpoint, ...]]) -> Event:
    """One wire event as the module's type; `pages` holds the numbered lists as of this event."""
    match w:
        case WAnnounce():
            scope = look_up(_SCOPE, w.scope, "scope")
            entries: tuple[Endpoint, ...] = ()
            if scope is not UpdateScope.FAILED:
                if w.page not in pages:
                    raise MessageError(f"announce names page {w.page}, which was never defined")
                entries = pages[w.page]
            return EndpointUpdate(scope, entries, w.seq_no or 0)
        case WWorkItem():
            return _request(w)
        case WBegun():
            return StreamStarted(w.handle, w.engine, w.n, w.took or 0.0)
        case WResolved():
            return _outcome(w)
        case WAhead():
            return ReservationResult(w.handle, w.engine, w.n, w.topic == 1)
        case WLeft():
            return ClientDisconnected(w.handle)
        case WElapsed():
            return TimerFired(w.token)
        case WPong():
            return HealthCheckResult(
                w.engine, look_up(_STATUS, w.ending, "ending"), w.took or 0.0, _row(w.load)
            )
        case WInbox():
            try:
                return GossipReceived(w.src_peer, bytes.fromhex(w.blob))
            except ValueError:
                raise MessageError("inbox blob is not hex") from None
    raise MessageError(f"unexpected event {w!r}")


def row_of(instance: str, action: Action) -> dict[str, Any]:
    """One action of the module as a wire row."""
    body: dict[str, Any]
    match action:
        case SendAttempt():
            body = {"op": "assign", "handle": action.id, "engine": action.server}
            body["stop_at"] = action.deadline_ms
        case ReserveDecodeSlot():
            body = {"op": "pre_pair", "handle": action.id, "engine": action.server}
        case ReleaseState():
            body = {"op": "unhold", "handle": action.id}
        case CancelAttempt():
            body = {"op": "withdraw", "handle": action.id, "n": action.attempt}
        case RejectRequest():
            body = {"op": "decline", "handle": action.id, "stay_away": action.retry_after_ms}
        case FailRequest():
            body = {"op": "abort", "handle": action.id}
        case MigrateStream():
            body = {"op": "bounce", "handle": action.id}
        case StartTimer():
            body = {"op": "remind", "after": action.delay_ms, "token": action.token}
        case SetWatch():
            body = {"op": "stream_changes", "enable": action.enabled}
        case FetchEndpoints():
            body = {"op": "snapshot"}
        case SendHealthCheck():
            body = {"op": "poll", "engine": action.server}
        case SendGossip():
            body = {"op": "post", "dst": "*", "blob": action.payload.hex()}
        case WriteLog():
            body = {"op": "emit", "msg": action.text}
    return {**body, "i": instance}


class Host:
    """Spreads batches over the instances; each has its own Router and its own share of the events."""

    def __init__(self) -> None:
        self.routers: dict[str, Router] = {}
        self.pages: dict[int, tuple[Endpoint, ...]] = {}

    def batch(self, batch: WBatch) -> list[dict[str, Any]]:
        """Answer one batch; an instance's consecutive events go to its Router in one call."""
        queued: dict[str, list[Event]] = {}
        rows: list[dict[str, Any]] = []
        for w in batch.arrivals:
            if isinstance(w, WList):
                self.pages[w.page] = tuple(_entry(row) for row in w.nodes_list)
            elif isinstance(w, WKilled):
                queued.pop(w.i, None)
                self.routers.pop(w.i, None)
            elif isinstance(w, WUp):
                queued[w.i] = []
                self.routers[w.i] = Router(decode_settings(w.facts, w.rng_seed))
            elif w.i in self.routers:
                queued.setdefault(w.i, []).append(event_of(w, self.pages))
        for instance, events in queued.items():
            rows.extend(self._handle(instance, batch.now, events))
        return rows

    def _handle(self, instance: str, now: float, events: list[Event]) -> list[dict[str, Any]]:
        try:
            actions = self.routers[instance].handle(now, events)
        except Exception as error:
            print(f"decision code failed for {instance}: {error!r}", file=sys.stderr)
            return [{"op": "fault", "i": instance, "msg": f"{type(error).__name__}: {error}"[:400]}]
        return [row_of(instance, action) for action in actions]


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch by batch until the end of input."""
    decoder = msgspec.json.Decoder(WBatch)
    encoder = msgspec.json.Encoder()
    host = Host()
    for number, line in enumerate(source, 1):
        try:
            batch = decoder.decode(line)
            rows = host.batch(batch)
        except (msgspec.MsgspecError, MessageError, UnicodeDecodeError) as error:
            raise MessageError(f"line {number}: {error}") from None
        sink.write(encoder.encode({"turn": batch.turn, "actions": rows}) + b"\n")
        sink.flush()


def main() -> int:
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except MessageError as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
