"""The OpenAI-style front: one whole path, deadlines, refusals, errors, and orders that never run twice."""

from __future__ import annotations

import socket
from pathlib import Path

import openai
import orjson
import pytest
import trio

from tests.test_stories import pair, play
from violetstack.net.upstream.connection import SendWithheldError, UpstreamConnection
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
from violetstack.rehearsal.stage import Stage, stage

ORDER = "giro-orden"
QUERY = "giro-consulta"


def plain(*acts: Act) -> ModelHost:
    return ModelHost("o", "openai", *acts)


def with_idempotency_store(tmp_path: Path) -> dict[str, object]:
    tmp_path.mkdir(exist_ok=True)
    return {"ledger": {"file": str(tmp_path / "orders.sqlite"), "lease_s": 0.5}}


def test_a_stream_is_openai_chunks_and_one_done() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(QUERY, stream_options={"include_usage": True}))
        assert (answer.status, answer.headers["content-type"]) == (200, "text/event-stream")
        rows = [orjson.loads(event) for event in answer.events[:-1]]
        assert answer.events[-1] == b"[DONE]" and answer.events.count(b"[DONE]") == 1
        assert {row["object"] for row in rows} == {"chat.completion.chunk"}
        assert {row["model"] for row in rows} == {QUERY}
        assert rows[0]["choices"][0]["delta"]["role"] == "assistant"
        assert rows[-1]["usage"]["completion_tokens"] == 3 and rows[-1]["choices"] == []

    play(*pair(), story=story)


@pytest.mark.parametrize("hosts", [pair, lambda: (plain(),)], ids=["two-stage", "plain"])
def test_openais_own_client_is_served_streamed_and_whole(hosts: object) -> None:
    async def story(on: Stage) -> None:
        def ask() -> tuple[str | None, str]:
            url = f"http://{on.chat[0]}:{on.chat[1]}/v1"
            with openai.OpenAI(base_url=url, api_key="kiosk-key", max_retries=0) as client:
                assert [m.id for m in client.models.list()] == [QUERY, ORDER]
                create = client.chat.completions.create
                whole = create(model=QUERY, messages=[{"role": "user", "content": "hi"}])
                parts = create(model=QUERY, messages=[{"role": "user", "content": "hi"}], stream=True)
                return whole.choices[0].message.content, "".join(
                    part.choices[0].delta.content or "" for part in parts
                )

        whole, streamed = await trio.to_thread.run_sync(ask)
        assert whole == streamed != ""

    play(*hosts(), story=story)  # type: ignore[operator]


def test_a_stream_cut_after_its_first_event_ends_in_one_error_event() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(QUERY))
        assert (answer.status, answer.whole, len(answer.events)) == (200, True, 3)
        assert orjson.loads(answer.events[-1])["error"]["code"] == "stream_broken"
        assert b"[DONE]" not in answer.body

    play(*pair(CUT), story=story)


def test_a_cut_answer_that_was_not_streamed_gets_a_status() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(QUERY, stream=False))
        assert (answer.status, "retry-after" in answer.headers) == (503, True)

    play(*pair(CUT), story=story)


def test_a_refusal_tells_when_to_come_back() -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(QUERY))
        assert (answer.status, answer.headers["retry-after"]) == (503, "1")
        assert answer.json["error"]["code"] == "overloaded"

    play(*pair(*[DECLINE] * 5), story=story)


def test_the_clients_deadline_counts_if_it_is_shorter() -> None:
    async def story(on: Stage) -> None:
        before = trio.current_time()
        answer = await ask_chat(on.chat, chat_body(QUERY), chat_headers(X_Stainless_Read_Timeout="0.3"))
        assert answer.outcome == "refused"
        assert trio.current_time() - before < 2.0

    play(*pair(reads=(SILENT,)), story=story)


@pytest.mark.parametrize(
    ("body", "headers", "status", "code"),
    [
        (chat_body(QUERY), [], 401, "invalid_api_key"),
        (chat_body(QUERY), chat_headers(key="other"), 401, "invalid_api_key"),
        (chat_body("nothing"), chat_headers(), 404, "model_not_found"),
        (b"{", chat_headers(), 400, None),
        (b'{"model":"giro-consulta","messages":[]}', chat_headers(), 400, None),
        (chat_body(QUERY, n=2), chat_headers(), 400, None),
        (chat_body(QUERY, max_tokens=0), chat_headers(), 400, None),
        (chat_body(QUERY, text="x" * 300_000), chat_headers(), 413, None),
        (chat_body(ORDER), chat_headers(), 400, "idempotency_key_missing"),
        (chat_body(ORDER), chat_headers("k1"), 503, "orders_unavailable"),
    ],
)
def test_what_cant_be_taken_gets_an_error_object(
    body: bytes, headers: list[tuple[str, str]], status: int, code: str | None
) -> None:
    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, body, headers)
        assert (answer.status, answer.json["error"]["code"]) == (status, code)
        assert answer.json["error"]["message"]

    play(*pair(), story=story)


def test_a_finished_order_is_told_again_and_not_run(tmp_path: Path) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        first = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        again = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        fresh = await ask_chat(on.chat, chat_body(ORDER, stream=False), chat_headers("k2"))
        assert again.events == first.events
        assert (fresh.text, fresh.headers["idempotent-replayed"]) == (first.text, "true")
        assert sum(writer.runs.values()) == 1

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path))


def test_one_key_stands_for_one_body(tmp_path: Path) -> None:
    async def story(on: Stage) -> None:
        await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        other = await ask_chat(on.chat, chat_body(ORDER, text="more"), chat_headers("k1"))
        assert (other.status, other.json["error"]["code"]) == (422, "idempotency_key_reused")

    play(*pair(), story=story, chat=with_idempotency_store(tmp_path))


def test_a_running_order_is_a_conflict_and_outlives_its_client(tmp_path: Path) -> None:
    hold = trio.Event()
    reader, writer = pair(Act(pause=hold))

    async def story(on: Stage) -> None:
        call = await connect(on.chat)
        await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body(ORDER))
        await call.receive(events=3)
        during = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        assert (during.status, during.json["error"]["code"]) == (409, "order_running")
        await call.stream.aclose()
        hold.set()
        while (later := await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))).status == 409:
            pass
        assert (later.outcome, sum(writer.runs.values())) == ("served", 1)

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path))


@pytest.mark.parametrize("act", [CUT, RESET, ERROR], ids=["cut", "reset", "error"])
def test_an_order_that_may_have_run_stays_failed(tmp_path: Path, act: Act) -> None:
    reader, writer = pair(act)

    async def story(on: Stage) -> None:
        first = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        assert first.outcome in ("cut", "failed")
        for key in ("k1", "k2"):
            again = await ask_chat(on.chat, chat_body(ORDER), chat_headers(key))
            assert (again.status, again.headers["x-should-retry"]) == (502, "false")
            assert "retry-after" not in again.headers
        assert len(writer.begun) == 1

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path))


def test_openais_own_retries_run_no_order_twice(tmp_path: Path) -> None:
    """Its client sends again by itself what it was not told to leave alone."""
    broken = plain(RESET)
    turned = plain(*[TOO_MANY] * 2)

    def ask(on: Stage, key: str) -> openai.types.chat.ChatCompletion:
        url = f"http://{on.chat[0]}:{on.chat[1]}/v1"
        with openai.OpenAI(base_url=url, api_key="kiosk-key", max_retries=3) as client:
            return client.chat.completions.create(
                model=ORDER,
                messages=[{"role": "user", "content": "hi"}],
                extra_headers={"Idempotency-Key": key},
            )

    async def fails(on: Stage) -> None:
        with pytest.raises(openai.APIStatusError) as failed:
            await trio.to_thread.run_sync(ask, on, "k1")
        assert (failed.value.status_code, len(broken.begun)) == (502, 1)

    async def goes_again(on: Stage) -> None:
        answer = await trio.to_thread.run_sync(ask, on, "k2")
        assert answer.choices[0].finish_reason == "stop"
        assert (len(turned.begun), sum(turned.runs.values())) == (3, 1)

    play(broken, story=fails, chat=with_idempotency_store(tmp_path / "a"))
    play(turned, story=goes_again, chat=with_idempotency_store(tmp_path / "b"))


def test_an_order_proven_not_run_may_go_again(tmp_path: Path) -> None:
    host = plain(TOO_MANY, TOO_MANY, TOO_MANY, TOO_MANY, TOO_MANY)

    async def story(on: Stage) -> None:
        first = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        assert first.outcome == "refused"
        host.acts.clear()
        while (again := await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))).status == 409:
            pass
        assert (again.outcome, sum(host.runs.values())) == ("served", 1)

    play(host, story=story, chat=with_idempotency_store(tmp_path))


def test_a_plain_hosts_stream_without_done_is_broken() -> None:
    """A plain host's 5xx or break may have run; a 429 did not."""
    host = plain(CUT)

    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(QUERY))
        assert answer.outcome == "cut"
        body = orjson.loads(host.bodies[0])
        assert (body["stream"], body["model"]) == (True, QUERY)
        assert host.calls == []

    play(host, story=story)


def test_an_error_event_of_a_plain_host_is_a_break(tmp_path: Path) -> None:
    host = plain(Act(events=1, error_event=True))

    async def story(on: Stage) -> None:
        answer = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        assert orjson.loads(answer.events[-1])["error"]["code"] == "stream_broken"
        again = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        assert (again.status, len(host.begun)) == (502, 1)

    play(host, story=story, chat=with_idempotency_store(tmp_path))


def test_dispatchers_that_share_the_idempotency_store_run_a_request_once(tmp_path: Path) -> None:
    hold = trio.Event()
    first = plain(Act(pause=hold))
    second = plain()

    async def main() -> None:
        with trio.fail_after(15):
            async with (
                stage(first, chat=with_idempotency_store(tmp_path)) as one,
                stage(second, chat=with_idempotency_store(tmp_path)) as two,
            ):
                call = await connect(one.chat)
                await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body(ORDER))
                await call.receive(events=3)
                during = await ask_chat(two.chat, chat_body(ORDER), chat_headers("k1"))
                assert during.json["error"]["code"] == "order_running"
                hold.set()
                assert (await call.receive()).outcome == "served"
                while (later := await ask_chat(two.chat, chat_body(ORDER), chat_headers("k2"))).status == 409:
                    pass
                assert later.outcome == "served"
        assert second.begun == []

    trio.run(main)


def test_an_order_of_a_dead_dispatcher_may_have_run(tmp_path: Path) -> None:
    reader, writer = pair(Act(pause=trio.Event()))

    async def main() -> None:
        with trio.fail_after(15):
            async with stage(reader, writer, chat=with_idempotency_store(tmp_path)) as on:
                call = await connect(on.chat)
                await call.send("POST", "/v1/chat/completions", chat_headers("k1"), chat_body(ORDER))
                await call.receive(events=3)
            fresh = pair()
            async with stage(*fresh, chat=with_idempotency_store(tmp_path)) as on:
                while (again := await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))).status == 409:
                    await trio.sleep(0.05)
                assert again.json["error"]["code"] == "order_may_have_run"
                assert fresh[1].begun == []

    trio.run(main)


def test_mixed_traffic_has_the_same_outcomes_on_both_faces(tmp_path: Path) -> None:
    """Cuts, refusals, errors, retries and a restart: one final event a request, no order run twice."""
    acts = [Act(), CUT, DECLINE, DECLINE, ERROR, Act(), ERROR, RESET, Act(), RESET, CUT]
    kinds = ["consulta", "orden"] * 6

    async def ask(face: str, on: Stage, n: int, key: str = "") -> Answer:
        if face == "platform":
            return await ask_platform(on.platform, f"q{n}", kinds[n], text=f"text {n}")
        body = chat_body(f"giro-{kinds[n]}", text=f"text {n}")
        answer = await ask_chat(on.chat, body, chat_headers(key or f"k{n}"))
        final = [e for e in answer.events if e == b"[DONE]" or e.startswith(b'{"error"')]
        assert len(final) == (answer.status == 200)
        return answer

    async def retry(on: Stage, told: list[str]) -> None:
        """Under the old key and a fresh one; only what provably did not run may go again, later."""
        for n, outcome in enumerate(told):
            for key in (f"k{n}", f"k{n}-again") if kinds[n] == "orden" and outcome != "refused" else ():
                again = await ask("chat", on, n, key)
                assert again.outcome == ("served" if outcome == "served" else "failed")

    async def replay(face: str) -> tuple[list[str], ModelHost]:
        reader, writer = pair(*acts)
        told: list[str] = []
        for part in (range(6), range(6, 12)):  # a restart lies between
            async with stage(reader, writer, chat=with_idempotency_store(tmp_path)) as on:
                told.extend([(await ask(face, on, n)).outcome for n in part])
                if face == "chat":
                    await retry(on, told)
        return told, writer

    async def main() -> None:
        with trio.fail_after(30):
            mine, writer = await replay("chat")
            theirs, other = await replay("platform")
            assert mine == theirs
            assert set(mine) == {"served", "cut", "refused", "failed"}
            assert writer.runs == other.runs
            orders = [messages_digest(chat_body("", text=f"text {n}")) for n in range(1, 12, 2)]
            assert max(writer.runs[name] for name in orders) == 1

    trio.run(main)


def test_a_claimed_request_is_not_sent_once_the_lease_is_lost(tmp_path: Path) -> None:
    """The process did not run for longer than its lease after the claim."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        assert on.daemon.fronts.idempotency is not None
        holds_lease = on.daemon.fronts.idempotency.holds_lease
        on.daemon.fronts.idempotency.holds_lease = lambda: False  # type: ignore[method-assign]
        told = await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))
        assert (told.status, reader.begun, writer.begun) == (503, [], [])
        on.daemon.fronts.idempotency.holds_lease = holds_lease  # type: ignore[method-assign]
        while (again := await ask_chat(on.chat, chat_body(ORDER), chat_headers("k1"))).status == 409:
            await trio.sleep(0.01)
        assert again.outcome == "served" and len(writer.begun) == 1

    play(reader, writer, story=story, chat=with_idempotency_store(tmp_path))


def test_a_request_withheld_on_its_way_never_reaches_its_host_whole() -> None:
    async def main() -> None:
        ours, theirs = socket.socketpair()
        asked: list[bool] = []
        ours.setblocking(False)
        connection = UpstreamConnection(ours, "w")
        with theirs:

            def allowed() -> bool:
                asked.append(True)
                return len(asked) < 3

            with pytest.raises(SendWithheldError):
                await connection.write([b"head", bytes(8 * 2**20)], asked.clear, allowed)
            assert len(asked) == 3
            connection.close()
            came = 0
            while data := theirs.recv(2**20):
                came += len(data)
            assert came < 8 * 2**20

    trio.run(main)
