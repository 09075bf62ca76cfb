"""Header fields of a client's request that every attempt has to forward to its model host."""

from __future__ import annotations

import pytest

from tests.test_stories import pair, play
from violetstack.protocol.headers import forwarded_headers
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.clients import BODY, connect, platform_headers
from violetstack.rehearsal.hosts import ERROR, ModelHost
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import SETTINGS, Stage

KEY = "958c55e3245a7a6e9be8e5960c9cf223"
KEYED_CLASS = {
    "name": "booking",
    "aim": 2500.0,
    "give_up": 9000.0,
    "idempotency": "idempotency_key",
    "group": "all",
    "window": 5000.0,
    "value": 1.0,
}


class RecordingHost(ModelHost):
    """Records the header fields of each request."""

    received: list[dict[str, str]]

    async def handle(self, inbound: HttpRequest, connection: PeerConnection) -> None:
        if not inbound.path.startswith("/state/"):
            self.received = [*getattr(self, "received", []), inbound.headers]
        await super().handle(inbound, connection)


@pytest.mark.parametrize("retried", [False, True], ids=["first attempt", "retry"])
def test_every_attempt_carries_the_clients_idempotency_key(retried: bool) -> None:
    prefill_host = RecordingHost("r", "prefill")
    decode_host = RecordingHost("w", "decode", *([ERROR] if retried else []))

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        headers = [*platform_headers("q1", "booking"), ("Idempotency-Key", KEY)]
        await call.send("POST", "/v1/chat/completions", headers, BODY)
        answer = await call.receive()
        assert (answer.status, answer.whole) == (200, True)
        received = [*prefill_host.received, *decode_host.received]
        assert [headers.get("idempotency-key") for headers in received] == [KEY] * (4 if retried else 2)

    play(prefill_host, decode_host, story=story, settings={"classes": [*SETTINGS["classes"], KEYED_CLASS]})


def test_hosts_get_no_header_meant_for_the_dispatcher_or_one_connection() -> None:
    prefill_host = RecordingHost("r", "prefill")
    _, decode_host = pair()

    async def story(on: Stage) -> None:
        call = await connect(on.platform)
        extra_headers = [("Traceparent", "00-1-2-01"), ("Connection", "keep-alive, X-Hop"), ("X-Hop", "1")]
        await call.send(
            "POST", "/v1/chat/completions", [*platform_headers("q1", "consulta"), *extra_headers], BODY
        )
        answer = await call.receive()
        assert answer.status == 200
        (headers,) = prefill_host.received
        expected = {"host", "req-id", "req-deadline", "content-type", "content-length", "traceparent"}
        assert set(headers) == expected

    play(prefill_host, decode_host, story=story)


def test_only_unknown_header_fields_are_forwarded() -> None:
    headers = {"host": "app.svc", "req-id": "q1", "te": "trailers", "idempotency-key": KEY, "x-hop": "1"}
    assert forwarded_headers(headers) == [("idempotency-key", KEY), ("x-hop", "1")]
    assert forwarded_headers({**headers, "connection": "X-Hop"}) == [("idempotency-key", KEY)]
