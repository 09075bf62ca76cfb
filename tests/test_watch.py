"""Where discovery's news and its watch's state cross, on real sockets: the agent acts at a known byte."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import orjson
import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st

from tests.steady import until
from tests.test_stories import pair, play
from violetstack.config import parse_address
from violetstack.core import backoff
from violetstack.daemon import endpoints
from violetstack.daemon.daemon import Daemon
from violetstack.net import watch
from violetstack.protocol.discovery import MAX_OBJECT_BYTES, EndpointListError, JsonObjectSplitter
from violetstack.protocol.server_side import Inbound
from violetstack.rehearsal.clients import ask_platform
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.peer import PeerConnection
from violetstack.rehearsal.stage import Stage

Script = Callable[[PeerConnection], Awaitable[None]]


class Agent(Discovery):
    """Discovery's agent: the n-th call is played by the n-th script, the rest as usual."""

    def __init__(self, *rows: dict[str, Any], scripts: tuple[Script, ...] = ()) -> None:
        super().__init__(*rows)
        self.scripts = list(scripts)

    async def handle(self, inbound: Inbound, connection: PeerConnection) -> None:
        if not self.scripts:
            await super().handle(inbound, connection)
            return
        self.asked.append(inbound.target)
        await self.scripts.pop(0)(connection)


async def silent(connection: PeerConnection) -> None:
    """Accepted, and never answered."""
    await connection.until_closed()


def saying(*parts: bytes, then: Script = silent) -> Script:
    async def script(connection: PeerConnection) -> None:
        await connection.start(200, [])
        for part in parts:
            await connection.data(part)
        await then(connection)

    return script


def told(version: int, *rows: dict[str, Any], full: bool = False, **dump: Any) -> bytes:
    return orjson.dumps({"version": version, "full": full, "servers": rows}, **dump)


async def meet(on: Stage, *scripts: Script) -> Agent:
    """The dispatcher's watch is at an agent that plays these from its first call on."""
    agent = Agent(*(row for _, rows in on.discovery.changes for row in rows), scripts=scripts)
    await on.nursery.start(agent.serve)
    assert on.daemon.watch is not None
    on.daemon.watch.address = parse_address(agent.address)
    on.discovery.hang_up()
    await until(lambda: bool(agent.asked))
    return agent


def drains(on: Stage, name: str = "w") -> bool:
    return name in on.daemon.core.draining


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(watch, "STALLED_S", 0.2)
    monkeypatch.setattr(watch, "FIRST_WORD_S", 0.2)
    monkeypatch.setattr(watch, "HEDGE_S", 0.05)


# --- a watch that ends ---


def test_a_watch_that_was_reset_is_open_again_without_any_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    """What the agent has by then counts as told: each wait was taken from the drain's 250 ms."""
    monkeypatch.setattr(backoff, "AGENT_FIRST_WINDOW_S", 60.0)
    monkeypatch.setattr(backoff, "AGENT_MAX_WINDOW_S", 60.0)
    reader, writer = pair()

    async def story(on: Stage) -> None:
        on.discovery.hang_up()
        on.discovery.tell(writer.row(state="leaving"))  # told while no watch is open
        await until(lambda: drains(on))

    play(reader, writer, story=story)


def test_a_watch_that_ends_at_once_each_time_is_not_opened_without_pause() -> None:
    async def story(on: Stage) -> None:
        async def ends(connection: PeerConnection) -> None:
            await connection.start(200, [])
            await connection.data(b"\n")
            await connection.end()

        agent = await meet(on, *[ends] * 500)
        began = trio.current_time()
        await until(lambda: len(agent.asked) > 8)
        assert trio.current_time() - began > 7 * watch.MIN_INTERVAL_S * 0.9

    play(*pair(), story=story)


def test_an_outage_in_which_connections_are_accepted_and_stay_silent_ends_with_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """What discovery has at its return counts at once; the connection that hung was waited on for 5.5 s."""
    monkeypatch.setattr(watch, "STALLED_S", 60.0)
    monkeypatch.setattr(watch, "FIRST_WORD_S", 60.0)
    reader, writer = pair()

    async def story(on: Stage) -> None:
        agent = await meet(on, *[silent] * 4)
        await until(lambda: not agent.scripts)  # the fourth is as silent: more are opened beside it
        agent.tell(writer.row(state="leaving"))
        await until(lambda: drains(on), 1.0)

    play(reader, writer, story=story)


def test_connections_that_are_all_answered_in_one_instant_leave_one_that_goes_on(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Each dropped all others, so that none was left and nobody noticed (seen on a short day)."""
    monkeypatch.setattr(watch, "FIRST_WORD_S", 60.0)
    monkeypatch.setattr(watch, "STALLED_S", 60.0)
    reader, writer = pair()

    async def story(on: Stage) -> None:
        back = trio.Event()

        async def answered(connection: PeerConnection) -> None:
            await back.wait()
            await connection.start(200, [])
            await connection.data(told(1))
            while agent.version == 1:
                await trio.sleep(0.001)
            await connection.data(told(2, writer.row(state="leaving")))
            await silent(connection)

        agent = await meet(on, *[answered] * 5)
        await until(lambda: not agent.scripts)
        agent.scripts = [silent] * 500
        back.set()
        await until(lambda: on.daemon.watch is not None and not on.daemon.watch._lost)
        await until(lambda: on.daemon.watch is not None and len(on.daemon.watch._connections) < 2)
        agent.tell(writer.row(state="leaving"))
        await until(lambda: drains(on))
        assert on.daemon.watch is not None
        assert len(on.daemon.watch._connections) == 1

    play(reader, writer, story=story)


def test_no_more_than_a_few_connections_wait_for_a_silent_agent() -> None:
    async def story(on: Stage) -> None:
        agent = await meet(on, *[silent] * 500)
        most = 0
        while len(agent.asked) < 12:
            await trio.sleep(0.001)
            most = max(most, len(agent.connections))
        assert most <= watch.MAX_WAITING
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"

    play(*pair(), story=story)


# --- a watch that falls silent ---


@pytest.mark.parametrize("last", [b"\n", b'\n{"version":1,"servers":[', b'\n{"version":1,"servers":[]}'])
def test_a_silent_watch_is_heard_until_another_has_told_something(last: bytes) -> None:
    """Silence between lines, inside an object and behind one; the old one speaks first, then a new one."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        speak = trio.Event()

        async def late(connection: PeerConnection) -> None:
            await speak.wait()
            end = b"]}" if last.endswith(b"[") else b""
            await connection.data(end + told(2, writer.row(state="leaving")))
            await silent(connection)

        agent = await meet(on, saying(last, then=late), *[silent] * 500)
        await until(lambda: len(agent.asked) > 3)
        speak.set()  # the new ones are silent as well, and the old one's word comes after all
        await until(lambda: drains(on))
        opened = agent.opened
        await trio.testing.wait_all_tasks_blocked()
        assert (agent.opened, len(agent.connections)) == (opened, 1)
        agent.scripts.clear()  # then it falls silent again, and a new one speaks
        agent.version = 2
        agent.tell(writer.row())
        await until(lambda: not drains(on))
        await until(lambda: len(agent.connections) == 1)

    play(reader, writer, story=story)


def test_a_trickle_that_never_comes_to_an_object_is_silence() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        async def trickle(connection: PeerConnection) -> None:
            while True:
                await connection.data(b" ")
                await trio.sleep(0.01)

        agent = await meet(on, saying(b'\n{"version":2,', then=trickle))
        agent.tell(writer.row(state="leaving"))
        await until(lambda: drains(on))

    play(reader, writer, story=story)


# --- a new address, and a new process ---


def test_the_old_watchs_news_count_until_the_new_discovery_has_told_its_list() -> None:
    """After SIGHUP the old watch was closed at once, with what lay unread; the new one was not up yet."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        new = Agent(reader.row(), writer.row(), scripts=(silent,) * 3)
        await on.nursery.start(new.serve)
        on.discovery.tell(writer.row(state="leaving"))  # unread when the signal comes
        on.daemon.reload(lambda: on.config(discovery=new.address))
        await until(lambda: drains(on))
        await until(lambda: not new.scripts)  # then it answers: its whole list replaces the old one
        await until(lambda: not drains(on))
        assert set(new.asked[:4]) == {"/api/targets"}
        on.discovery.tell(reader.row(state="leaving"))
        new.tell(writer.row(state="leaving"))
        await until(lambda: drains(on))
        assert not drains(on, "r")

    play(reader, writer, story=story)


def test_a_new_process_serves_nobody_before_it_has_heard_its_agent() -> None:
    """The configuration's list is older than what the agent has, which counts from the first moment."""
    reader, writer = pair()

    async def story(on: Stage) -> None:
        agent = Agent(reader.row(), writer.row())
        agent.tell(writer.row(state="leaving"))

        async def late(connection: PeerConnection) -> None:
            await trio.testing.wait_all_tasks_blocked()
            await connection.start(200, [])
            await connection.data(told(2, writer.row(state="leaving")))
            await silent(connection)

        agent.scripts = [late]
        await on.nursery.start(agent.serve)
        again = Daemon(on.config(discovery=agent.address))
        serving = await on.nursery.start(again.serve)
        assert "w" in again.core.draining
        assert (await ask_platform(serving.platform, "q1", "orden")).outcome == "refused"
        assert (reader.begun, writer.begun) == ([], [])

    play(reader, writer, story=story)


def test_a_new_process_whose_agent_is_silent_starts_all_the_same(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(endpoints, "AGENT_LIST_S", 0.05)

    async def story(on: Stage) -> None:
        agent = Agent(scripts=(silent,) * 500)
        await on.nursery.start(agent.serve)
        again = Daemon(on.config(discovery=agent.address))
        serving = await on.nursery.start(again.serve)
        assert (await ask_platform(serving.platform, "q1", "orden")).outcome == "served"

    play(*pair(), story=story)


# --- what can't be read ---


def test_a_bad_change_is_not_asked_for_again_from_its_index_and_the_watch_goes_on() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        more = trio.Event()

        async def go_on(connection: PeerConnection) -> None:
            await more.wait()
            await connection.data(told(9, writer.row(state="leaving")))
            await silent(connection)

        agent = await meet(on, saying(b'\n{"version":2,"servers":7}\n', then=go_on), *[silent] * 500)
        await until(lambda: len(agent.asked) > 3)
        assert set(agent.asked[1:]) == {"/api/targets"}
        more.set()
        await until(lambda: drains(on))

    play(reader, writer, story=story)


def test_a_bad_change_that_breaks_the_watch_is_followed_by_the_whole_list() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        agent = await meet(on, saying(b"what\n"))
        agent.tell(writer.row(state="leaving"))
        await until(lambda: drains(on))
        assert agent.asked[1] == "/api/targets"

    play(reader, writer, story=story)


def test_whole_lists_that_can_not_be_read_are_asked_for_less_and_less() -> None:
    async def story(on: Stage) -> None:
        async def bad(connection: PeerConnection) -> None:
            await connection.answer(200, [], b'{"version":3,"full":false,"servers":[]}')

        agent = await meet(on, saying(b"what\n"), *[bad] * 500)
        with pytest.raises(AssertionError, match="not in time"):
            await until(lambda: len(agent.asked) > 8, 1.0)
        assert len(agent.asked) >= 3
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"

    play(*pair(), story=story)


def test_one_entry_that_can_not_be_read_hides_no_other(capfd: pytest.CaptureFixture[str]) -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        odd = {**writer.row(), "id": "x", "cell": "three"}
        on.discovery.tell(odd, writer.row(state="leaving"))
        await until(lambda: drains(on))
        assert "x" not in on.daemon.core.endpoints

    play(reader, writer, story=story)
    assert r'"skipped":["{\"id\":\"x\"' in capfd.readouterr().out


def test_indented_lists_cut_at_every_byte_are_read() -> None:
    reader, writer = pair()

    async def story(on: Stage) -> None:
        change = told(2, writer.row(state="leaving"), option=orjson.OPT_INDENT_2)
        await meet(on, saying(b"\n", *(bytes([byte]) for byte in change)))
        await until(lambda: drains(on))

    play(reader, writer, story=story)


TEXTS = st.lists(
    st.recursive(
        st.text() | st.integers(-9, 9) | st.none(),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner, max_size=3),
        max_leaves=8,
    ),
    max_size=4,
)


@given(TEXTS, st.booleans(), st.integers(1, 40), st.sampled_from(["\n", "\n\n", " \r\n"]))
def test_objects_come_whole_however_they_are_laid_out_and_cut(
    rows: list[Any], indented: bool, cut: int, between: str
) -> None:
    option = orjson.OPT_INDENT_2 if indented else 0
    objects = [orjson.dumps({"row": row}, option=option) for row in rows]
    sent = b"".join(each + between.encode() for each in objects)
    values = JsonObjectSplitter()
    came = [v for n in range(0, len(sent), cut) for v in values.feed(memoryview(sent)[n : n + cut])]
    assert [value for value in came if value] == objects
    assert came.count(b"") == (between.count("\n") - 1) * len(objects)
    assert list(values.feed(b"\n")) == [b""]


@pytest.mark.parametrize("noise", [b"x", b"[]", b"}", b'{"a":1}x', b'"{}"'])
def test_what_is_no_object_is_told_at_its_first_byte(noise: bytes) -> None:
    with pytest.raises(EndpointListError):
        list(JsonObjectSplitter().feed(noise))


def test_an_object_without_an_end_is_bounded() -> None:
    values = JsonObjectSplitter()
    came = 0
    with pytest.raises(EndpointListError):
        for _ in range(MAX_OBJECT_BYTES // 1000 + 2):
            list(values.feed(b'{"a":"' + b"x" * 994 if not came else b"y" * 1000))
            came += 1000
    assert came <= MAX_OBJECT_BYTES + 1000
