"""The chat front: streams, deadlines, rejections, errors, and keyed requests that never run twice."""

from __future__ import annotations

import socket
from pathlib import Path

import openai
import orjson
import pytest
import trio

from tests.test_stories import pair, play
from violetstack.net.upstream.connection import SendWithheldError, UpstreamConnection
from violetstack.protocol.http_server import HttpRequest
from violetstack.rehearsal.chat_event_cells import delta_event
from violetstack.rehearsal.clients import (
    Answer,
    ask_chat,
    ask_platform,
    chat_body,
    chat_headers,
    connect,
)
from violetstack.rehearsal.hosts import (
    CUT,
    DECLINE,
    ERROR,
    RESET,
    SILENT,
    TOO_MANY,
    Act,
    ModelHost,
    messages_digest,
)
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import Stage, stage

KEYED_MODEL = "giro-orden"
IDEMPOTENT_MODEL = "giro-consulta"


def openai_host(*acts: Act) -> ModelHost:
    return ModelHost("o", "openai", *acts)


def with_idempotency_store(tmp_path: Path) -> dict[str, object]:
    tmp_path.mkdir(exist_ok=True)
    return {"ledger": {"file": str(tmp_path / "orders.sqlite"), "lease_s": 0.5}}


def test_a_stream_has_openai_chunks_and_one_done_event() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(IDEMPOTENT_MODEL, stream_options={"include_usage": True}))
        assert (answer.status, answer.headers["content-type"]) == (200, "text/event-stream")
        chunks = [orjson.loads(event) for event in answer.events[:-1]]
        assert answer.events[-1] == b"[DONE]" and answer.events.count(b"[DONE]") == 1
        assert {chunk["object"] for chunk in chunks} == {"chat.completion.chunk"}
        assert {chunk["model"] for chunk in chunks} == {IDEMPOTENT_MODEL}
        assert chunks[0]["choices"][0]["delta"]["role"] == "assistant"
        assert chunks[-1]["usage"]["completion_tokens"] == 3 and chunks[-1]["choices"] == []

    play(*pair(), story=story)


@pytest.mark.parametrize("hosts", [pair, lambda: (openai_host(),)], ids=["two-stage", "openai"])
def test_the_openai_client_gets_streamed_and_complete_answers(hosts: object) -> None:
    async def story(on: Stage) -> None:
        def send_both() -> tuple[str | None, str]:
            url = f"http://{on.chat[0]}:{on.chat[1]}/v1"
            with openai.OpenAI(base_url=url, api_key="kiosk-key", max_retries=0) as client:
                assert [m.id for m in client.models.list()] == [IDEMPOTENT_MODEL, KEYED_MODEL]
                create = client.chat.completions.create
                complete = create(model=IDEMPOTENT_MODEL, messages=[{"role": "user", "content": "hi"}])
                chunks = create(
                    model=IDEMPOTENT_MODEL, messages=[{"role": "user", "content": "hi"}], stream=True
                )
                return complete.choices[0].message.content, "".join(
                    chunk.choices[0].delta.content or "" for chunk in chunks
                )

        complete, streamed = await trio.to_thread.run_sync(send_both)
        assert complete == streamed != ""

    play(*hosts(), story=story)  # type: ignore[operator]


def test_a_stream_that_breaks_after_its_first_event_ends_with_one_error_event() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(IDEMPOTENT_MODEL))
        assert (answer.status, answer.whole, len(answer.events)) == (200, True, 3)
        assert orjson.loads(answer.events[-1])["error"]["code"] == "stream_broken"
        assert b"[DONE]" not in answer.body

    play(*pair(CUT), story=story)


def test_a_break_of_an_answer_that_is_not_streamed_is_answered_with_an_error_status() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(IDEMPOTENT_MODEL, stream=False))
        assert (answer.status, "retry-after" in answer.headers) == (503, True)

    play(*pair(CUT), story=story)


def test_a_rejection_states_when_to_retry() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(IDEMPOTENT_MODEL))
        assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        assert answer.json["error"]["code"] == "overloaded"

    play(*pair(*[DECLINE] * 5), story=story)


def test_a_client_timeout_shorter_than_the_classs_timeout_is_applied() -> None:
    async def story(on: Stage) -> None:
        started_at = trio.current_time()
        answer = await ask_chat(
            on.chat, chat_body(IDEMPOTENT_MODEL), chat_headers(X_Stainless_Read_Timeout="0.3")
        )
        assert answer.outcome == "refused"
        assert trio.current_time() - started_at < 2.0

    play(*pair(prefill_acts=(SILENT,)), story=story)


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (chat_body(IDEMPOTENT_MODEL), [], 401, "invalid_api_key"),
        (chat_body(IDEMPOTENT_MODEL), chat_headers(key="other"), 401, "invalid_api_key"),
        (chat_body("nothing"), chat_headers(), 404, "model_not_found"),
        (b"{", chat_headers(), 400, None),
        (b'{"model":"giro-consulta","messages":[]}', chat_headers(), 400, None),
        (chat_body(IDEMPOTENT_MODEL, n=2), chat_headers(), 400, None),
        (chat_body(IDEMPOTENT_MODEL, max_tokens=0), chat_headers(), 400, None),
        (chat_body(IDEMPOTENT_MODEL, text="x" * 300_000), chat_headers(), 413, None),
        (chat_body(KEYED_MODEL), chat_headers(), 400, "idempotency_key_missing"),
        (chat_body(KEYED_MODEL), chat_headers("k1"), 503, "orders_unavailable"),
    ],
)
def test_a_request_that_cant_be_served_is_answered_with_an_error_object(
    body: bytes, headers: list[tuple[str, str]], status: int, code: str | None
) -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, body, headers)
        assert (answer.status, answer.json["error"]["code"]) == (status, code)
        assert answer.json["error"]["message"]

    play(*pair(), story=story)


def test_a_completed_keyed_request_is_replayed_and_not_run_again(tmp_path: Path) -> None:
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        first = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        with_same_key = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        with_new_key = await ask_chat(on.chat, chat_body(KEYED_MODEL, stream=False), chat_headers("k2"))
        assert with_same_key.events == first.events
        assert (with_new_key.text, with_new_key.headers["idempotent-replayed"]) == (first.text, "true")
        assert sum(decode_host.runs.values()) == 1

    play(prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path))


def test_reusing_a_key_with_another_body_is_rejected(tmp_path: Path) -> None:
    async def story(on: Stage) -> None:
        await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        second = await ask_chat(on.chat, chat_body(KEYED_MODEL, text="more"), chat_headers("k1"))
        assert (second.status, second.json["error"]["code"]) == (422, "idempotency_key_reused")

    play(*pair(), story=story, chat=with_idempotency_store(tmp_path))


def test_a_running_keyed_request_is_a_conflict_and_continues_without_its_client(tmp_path: Path) -> None:
    finish = trio.Event()
    prefill_host, decode_host = pair(Act(pause=finish))

    async def story(on: Stage) -> None:
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body(KEYED_MODEL))
        await call.receive(events=3)
        while_running = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        assert (while_running.status, while_running.json["error"]["code"]) == (409, "order_running")
        await call.stream.aclose()
        finish.set()
        while (later := await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))).status == 409:
            pass
        assert (later.outcome, sum(decode_host.runs.values())) == ("served", 1)

    play(prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path))


@pytest.mark.parametrize("act", [CUT, RESET, ERROR], ids=["cut", "reset", "error"])
def test_a_keyed_request_that_may_have_run_stays_failed(tmp_path: Path, act: Act) -> None:
    prefill_host, decode_host = pair(act)

    async def story(on: Stage) -> None:
        first = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        assert first.outcome in ("cut", "failed")
        for key in ("k1", "k2"):
            retried = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers(key))
            assert (retried.status, retried.headers["x-should-retry"]) == (502, "false")
            assert "retry-after" not in retried.headers
        assert len(decode_host.received_ids) == 1

    play(prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path))


def test_retries_of_the_openai_client_run_no_keyed_request_twice(tmp_path: Path) -> None:
    """The client retries by itself unless the response forbids it."""
    resetting_host = openai_host(RESET)
    rejecting_host = openai_host(*[TOO_MANY] * 2)

    def send(on: Stage, key: str) -> openai.types.chat.ChatCompletion:
        url = f"http://{on.chat[0]}:{on.chat[1]}/v1"
        with openai.OpenAI(base_url=url, api_key="kiosk-key", max_retries=3) as client:
            return client.chat.completions.create(
                model=KEYED_MODEL,
                messages=[{"role": "user", "content": "hi"}],
                extra_headers={"Idempotency-Key": key},
            )

    async def expect_failure(on: Stage) -> None:
        with pytest.raises(openai.APIStatusError) as error:
            await trio.to_thread.run_sync(send, on, "k1")
        assert (error.value.status_code, len(resetting_host.received_ids)) == (502, 1)

    async def expect_success(on: Stage) -> None:
        answer = await trio.to_thread.run_sync(send, on, "k2")
        assert answer.choices[0].finish_reason == "stop"
        assert (len(rejecting_host.received_ids), sum(rejecting_host.runs.values())) == (3, 1)

    play(resetting_host, story=expect_failure, chat=with_idempotency_store(tmp_path / "a"))
    play(rejecting_host, story=expect_success, chat=with_idempotency_store(tmp_path / "b"))


def test_a_keyed_request_that_has_not_run_can_be_retried(tmp_path: Path) -> None:
    host = openai_host(TOO_MANY, TOO_MANY, TOO_MANY, TOO_MANY, TOO_MANY)

    async def story(on: Stage) -> None:
        first = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        assert first.outcome == "refused"
        host.acts.clear()
        while (retry := await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))).status == 409:
            pass
        assert (retry.outcome, sum(host.runs.values())) == ("served", 1)

    play(host, story=story, chat=with_idempotency_store(tmp_path))


def test_a_stream_of_an_openai_host_without_done_counts_as_broken() -> None:
    """After a 5xx or a break an OpenAI host may have run the request; after a 429 it has not."""
    host = openai_host(CUT)

    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(IDEMPOTENT_MODEL))
        assert answer.outcome == "cut"
        body = orjson.loads(host.bodies[0])
        assert (body["stream"], body["model"]) == (True, IDEMPOTENT_MODEL)
        assert host.calls == []

    play(host, story=story)


def test_an_error_event_of_an_openai_host_counts_as_a_break(tmp_path: Path) -> None:
    host = openai_host(Act(events=1, error_event=True))

    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        assert orjson.loads(answer.events[-1])["error"]["code"] == "stream_broken"
        retried = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        assert (retried.status, len(host.received_ids)) == (502, 1)

    play(host, story=story, chat=with_idempotency_store(tmp_path))


class EndlessHost(ModelHost):
    """Writes words until its connection is closed."""

    async def play(self, act: Act, inbound: HttpRequest, connection: PeerConnection) -> None:
        self.runs[messages_digest(inbound.body)] += 1
        await connection.start(200, [])
        while True:
            await connection.data(delta_event(content="x" * 32_000))
            await trio.sleep(0.005)


# Guards against requests that wait for the end of an answer that has been given up already.
@pytest.mark.parametrize("stream", [True, False], ids=["streamed", "complete"])
def test_an_answer_that_is_too_long_to_keep_is_given_up_at_once(tmp_path: Path, stream: bool) -> None:
    host = EndlessHost("o", "openai")

    async def story(on: Stage) -> None:
        body = chat_body(KEYED_MODEL, stream=stream)
        with trio.fail_after(5.0):
            answer = await ask_chat(on.chat, body, chat_headers("k1"))
        error = orjson.loads(answer.events[-1]) if stream else answer.json
        assert (error["error"]["code"], answer.whole) == ("stream_broken", True)
        assert "longer than can be kept" in error["error"]["message"]
        assert answer.status == (200 if stream else 502)
        retried = await ask_chat(on.chat, body, chat_headers("k1"))
        assert (retried.status, sum(host.runs.values())) == (502, 1)

    play(host, story=story, chat=with_idempotency_store(tmp_path))


def test_dispatchers_that_share_the_idempotency_store_run_a_request_once(tmp_path: Path) -> None:
    finish = trio.Event()
    first_host = openai_host(Act(pause=finish))
    second_host = openai_host()

    async def main() -> None:
        with trio.fail_after(15):
            async with (
                stage(first_host, chat=with_idempotency_store(tmp_path)) as first,
                stage(second_host, chat=with_idempotency_store(tmp_path)) as second,
            ):
                call = await connect(first.chat)
                await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body(KEYED_MODEL))
                await call.receive(events=3)
                while_running = await ask_chat(second.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
                assert while_running.json["error"]["code"] == "order_running"
                finish.set()
                assert (await call.receive()).outcome == "served"
                while (
                    later := await ask_chat(second.chat, chat_body(KEYED_MODEL), chat_headers("k2"))
                ).status == 409:
                    pass
                assert later.outcome == "served"
        assert second_host.received_ids == []

    trio.run(main)


def test_a_keyed_request_of_a_stopped_dispatcher_may_have_run(tmp_path: Path) -> None:
    prefill_host, decode_host = pair(Act(pause=trio.Event()))

    async def main() -> None:
        with trio.fail_after(15):
            async with stage(prefill_host, decode_host, chat=with_idempotency_store(tmp_path)) as on:
                call = await connect(on.chat)
                await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body(KEYED_MODEL))
                await call.receive(events=3)
            new_hosts = pair()
            async with stage(*new_hosts, chat=with_idempotency_store(tmp_path)) as on:
                while (
                    retry := await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
                ).status == 409:
                    await trio.sleep(0.05)
                assert retry.json["error"]["code"] == "order_may_have_run"
                assert new_hosts[1].received_ids == []

    trio.run(main)


def test_mixed_traffic_has_the_same_outcomes_on_both_fronts(tmp_path: Path) -> None:
    """Breaks, rejections, errors, retries and a restart: one final event each, no keyed request twice."""
    acts = [Act(), CUT, DECLINE, DECLINE, ERROR, Act(), ERROR, RESET, Act(), RESET, CUT]
    classes = ["consulta", "orden"] * 6

    async def send(front: str, on: Stage, n: int, key: str = "") -> Answer:
        if front == "platform":
            return await ask_platform(on.platform, f"q{n}", classes[n], text=f"text {n}")
        body = chat_body(f"giro-{classes[n]}", text=f"text {n}")
        answer = await ask_chat(on.chat, body, chat_headers(key or f"k{n}"))
        final_events = [e for e in answer.events if e == b"[DONE]" or e.startswith(b'{"error"')]
        assert len(final_events) == (answer.status == 200)
        return answer

    async def retry(on: Stage, outcomes: list[str]) -> None:
        """Retries keyed requests with the same key and with a new one.

        Rejected requests are not retried: they have not run, so that a retry would run.
        """
        for n, outcome in enumerate(outcomes):
            for key in (f"k{n}", f"k{n}-again") if classes[n] == "orden" and outcome != "refused" else ():
                retried = await send("chat", on, n, key)
                assert retried.outcome == ("served" if outcome == "served" else "failed")

    async def run_traffic(front: str) -> tuple[list[str], ModelHost]:
        prefill_host, decode_host = pair(*acts)
        outcomes: list[str] = []
        for part in (range(6), range(6, 12)):  # the dispatcher restarts between the parts
            async with stage(prefill_host, decode_host, chat=with_idempotency_store(tmp_path)) as on:
                outcomes.extend([(await send(front, on, n)).outcome for n in part])
                if front == "chat":
                    await retry(on, outcomes)
        return outcomes, decode_host

    async def main() -> None:
        with trio.fail_after(30):
            chat_outcomes, decode_host = await run_traffic("chat")
            platform_outcomes, platform_decode_host = await run_traffic("platform")
            assert chat_outcomes == platform_outcomes
            assert set(chat_outcomes) == {"served", "cut", "refused", "failed"}
            assert decode_host.runs == platform_decode_host.runs
            keyed_bodies = [messages_digest(chat_body("", text=f"text {n}")) for n in range(1, 12, 2)]
            assert max(decode_host.runs[name] for name in keyed_bodies) == 1

    trio.run(main)


def test_a_claimed_request_is_not_sent_once_the_lease_is_lost(tmp_path: Path) -> None:
    """The lease of a process that is paused after the claim can expire before it sends the request."""
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        assert on.daemon.fronts.idempotency is not None
        holds_lease = on.daemon.fronts.idempotency.holds_lease
        on.daemon.fronts.idempotency.holds_lease = lambda: False  # type: ignore[method-assign]
        answer = await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))
        assert (answer.status, prefill_host.received_ids, decode_host.received_ids) == (503, [], [])
        on.daemon.fronts.idempotency.holds_lease = holds_lease  # type: ignore[method-assign]
        while (retry := await ask_chat(on.chat, chat_body(KEYED_MODEL), chat_headers("k1"))).status == 409:
            await trio.sleep(0.01)
        assert retry.outcome == "served" and len(decode_host.received_ids) == 1

    play(prefill_host, decode_host, story=story, chat=with_idempotency_store(tmp_path))


def test_a_request_that_is_withheld_while_it_is_sent_never_reaches_its_host_completely() -> None:
    async def main() -> None:
        dispatcher_end, host_end = socket.socketpair()
        checks: list[bool] = []
        dispatcher_end.setblocking(False)
        connection = UpstreamConnection(dispatcher_end, "w")
        with host_end:

            def is_allowed() -> bool:
                checks.append(True)
                return len(checks) < 3

            with pytest.raises(SendWithheldError):
                await connection.write([b"head", bytes(8 * 2**20)], checks.clear, is_allowed)
            assert len(checks) == 3
            connection.close()
            received_bytes = 0
            while data := host_end.recv(2**20):
                received_bytes += len(data)
            assert received_bytes < 8 * 2**20

    trio.run(main)
