"""Stories over loopback with an operator's file: lost pools, routes that move, files that are bad."""

from __future__ import annotations

import gc
import tracemalloc
from pathlib import Path

import pytest
import trio

from tests.test_stories import play
from violetstack import log
from violetstack.config import Config, ConfigError, load
from violetstack.language.compiling import load as load_file
from violetstack.operator_config import OperatorConfigError
from violetstack.rehearsal.clients import ask_chat, ask_platform, chat_body, chat_headers, connect
from violetstack.rehearsal.hosts import Act, ModelHost
from violetstack.rehearsal.stage import Stage

FILE = """
class consulta { aim = 1.5s give_up = 7.5s effect = repeatable }
class orden { aim = 2.5s give_up = 10s effect = once }
pool near { members = cell == 0 fallback = [far] return_after = 50ms }
pool far { members = cell == 1 }
policy small { body = 2KiB }
route short { when = front == chat and prompt >= 400tok pool = far policy = small }
route all { when = prompt < 100ktok pool = near }
"""


def fleet(*acts: Act, far: tuple[Act, ...] = ()) -> list[ModelHost]:
    """A reader and a writer near, and a reader and a writer far."""
    near = [ModelHost("r0", "prefill"), ModelHost("w0", "decode", *acts)]
    return near + [ModelHost("r1", "prefill", cell=1), ModelHost("w1", "decode", *far, cell=1)]


def write(folder: Path, text: str = FILE) -> Path:
    path = folder / "operator.violet"
    path.write_text(text)
    return path


def reload(on: Stage, path: Path) -> None:
    def read_again() -> Config:
        try:
            config = on.config()
            config.routing_plan = load_file(path)[0].plan
        except OperatorConfigError as error:
            raise ConfigError(str(error)) from None
        return config

    on.daemon.reload(read_again)


def test_both_fronts_keep_to_their_routes_pools_and_policies(tmp_path: Path) -> None:
    hosts = fleet()
    lines: list[dict[str, object]] = []

    async def story(on: Stage) -> None:
        for n in range(4):
            assert (await ask_platform(on.platform, f"q{n}", "consulta")).outcome == "served"
        assert (await ask_chat(on.chat, chat_body("giro-consulta"))).outcome == "served"
        assert not hosts[2].begun and not hosts[3].begun and len(hosts[1].begun) == 5
        assert (await ask_chat(on.chat, chat_body("giro-consulta", "x" * 1700))).outcome == "served"
        assert len(hosts[3].begun) == 1
        long = await ask_chat(on.chat, chat_body("giro-consulta", "x" * 3000))
        assert (long.status, long.json["error"]["code"]) == (413, "body_too_long")
        lost = await ask_chat(on.chat, chat_body("giro-consulta", "x" * 200_000, n=1))
        assert lost.status == 413
        while on.daemon.core.open_requests:
            await trio.sleep(0.001)

    log.observers.append(lines.append)
    try:
        play(*hosts, story=story, file=write(tmp_path))
    finally:
        log.observers.remove(lines.append)
    told = [(x["route"], x["pool"], x["front"], x["class"]) for x in lines if x["event"] == "request"]
    assert told[0] == ("all", "near", "platform", "consulta") and told[-1][:3] == ("short", "far", "chat")


def test_a_request_that_no_route_takes_is_refused_before_any_host(tmp_path: Path) -> None:
    hosts = fleet()

    async def story(on: Stage) -> None:
        refused = await ask_platform(on.platform, "q1", "consulta")
        assert refused.status == 404
        chat = await ask_chat(on.chat, chat_body("giro-consulta"))
        assert (chat.status, chat.json["error"]["code"]) == (404, "no_route")
        assert not any(host.begun for host in hosts)

    route = "route orders { when = class == orden pool = near policy = small }\n"
    text = FILE[: FILE.index("route short")] + route
    play(*hosts, story=story, file=write(tmp_path, text))


def test_a_lost_primary_hands_its_load_to_the_fallback_and_no_order_runs_twice(tmp_path: Path) -> None:
    """The only near writer dies while orders and queries are under way, and comes back."""
    hold = trio.Event()
    hosts = fleet(*[Act(events=1, pause=hold)] * 3)
    outcomes: dict[str, str] = {}

    async def story(on: Stage) -> None:
        async def ask(n: int) -> None:
            kind = "orden" if n < 3 or n % 2 else "consulta"
            answer = await ask_platform(on.platform, f"q{n}", kind, text=f"text {n}")
            outcomes[f"q{n}"] = answer.outcome

        async def several(numbers: range) -> None:
            for n in numbers:
                await ask(n)

        async with trio.open_nursery() as clients:
            for n in range(3):
                clients.start_soon(ask, n)
            await hosts[1].until(lambda: len(hosts[1].begun) == 3)
            hosts[1].die()
            on.discovery.tell(hosts[1].row(state="left"))
            while "w0" in on.daemon.core.endpoints:
                await trio.sleep(0.001)
            for lane in range(3):
                clients.start_soon(several, range(3 + lane, 30, 3))
        assert {outcomes[f"q{n}"] for n in range(3)} <= {"cut", "failed"}  # by whether an event had come
        later = [outcomes[f"q{n}"] for n in range(3, 30)]
        assert set(later) <= {"served", "refused"} and later.count("served") >= 20
        assert len(hosts[3].begun) == later.count("served")
        assert max((hosts[1].runs + hosts[3].runs).values()) == 1
        back = ModelHost("w2", "decode")
        await on.nursery.start(back.serve)
        on.discovery.tell(back.row())
        while "w2" not in on.daemon.core.endpoints:
            await trio.sleep(0.001)
        n = 30
        while not back.begun:  # after return_after, and not before
            await ask(n)
            n += 1
        assert outcomes[f"q{n - 1}"] == "served"

    play(*hosts, story=story, file=write(tmp_path))


def test_a_reload_moves_a_route_while_streams_are_open(tmp_path: Path) -> None:
    hold = trio.Event()
    hosts = fleet(*[Act(pause=hold)] * 4)
    path = write(tmp_path)

    async def story(on: Stage) -> None:
        calls = []
        for _ in range(4):
            call = await connect(on.chat)
            await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
            await call.receive(events=1)
            calls.append(call)
        path.write_text(FILE.replace("pool = near }", "pool = far }"))
        reload(on, path)
        routing = on.daemon.routing
        assert routing is not None and [g.open_requests for g in routing.previous] == [4]
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"
        assert hosts[3].begun == ["q1"] and len(hosts[1].begun) == 4
        hold.set()
        for call in calls:
            assert (await call.receive()).outcome == "served"
        while on.daemon.core.open_requests:
            await trio.sleep(0.001)
        assert routing.previous == [] and routing.current.number == 2

    play(*hosts, story=story, file=path)


def test_a_bad_file_changes_nothing_and_says_where(tmp_path: Path, capfd: pytest.CaptureFixture[str]) -> None:
    hosts = fleet()
    path = write(tmp_path)

    async def story(on: Stage) -> None:
        path.write_text(FILE.replace("pool = near }", "pool = naer }"))
        reload(on, path)
        assert on.daemon.routing is not None and on.daemon.routing.current.number == 1
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"

    play(*hosts, story=story, file=path)
    line = next(x for x in capfd.readouterr().out.splitlines() if "config_reload_failed" in x)
    assert "operator.violet:8:" in line and "no pool 'naer'" in line and "did you mean 'near'" in line


def test_a_thousand_reloads_under_load_leave_nothing_behind(tmp_path: Path) -> None:
    """Streams stay open meanwhile: only the generation that they were taken under is kept for them."""
    hold = trio.Event()
    hosts = fleet(*[Act(pause=hold)] * 4)
    path = write(tmp_path)
    plan = load_file(path)[0].plan

    async def story(on: Stage) -> None:
        def read_again() -> Config:
            config = on.config()
            config.routing_plan = plan
            return config

        def some(count: int) -> int:
            for _ in range(count):
                on.daemon.reload(read_again)
            gc.collect()
            return tracemalloc.get_traced_memory()[0]

        calls = [await connect(on.chat) for _ in range(4)]
        for call in calls:
            await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
            await call.receive(events=1)
            some(50)
        routing = on.daemon.routing
        assert routing is not None and [g.open_requests for g in routing.previous] == [1] * 4
        tracemalloc.start()
        first = some(100)
        last = some(800)
        tracemalloc.stop()
        assert last - first < 20_000
        hold.set()
        for call in calls:
            assert (await call.receive()).outcome == "served"
        while on.daemon.core.open_requests:
            await trio.sleep(0.001)
        assert routing.previous == []

    log.quiet = True
    try:
        play(*hosts, story=story, file=path)
    finally:
        log.quiet = False


def test_the_whole_configuration_from_one_file(tmp_path: Path) -> None:
    text = 'listen platform { address = "127.0.0.1:0" } machine { memory = 64MiB descriptors = 300 }' + FILE
    config = load("", str(write(tmp_path, text)))
    assert (config.limits.memory_mb, config.limits.sockets, config.listen) == (64.0, 300, ("127.0.0.1", 0))
    assert [c.latency_objective_ms for c in config.settings.classes] == [
        1500.0,
        2500.0,
    ] and config.chat is None
    with pytest.raises(ConfigError, match=r"violet:1:1: there is no 'lisen' \(did you mean 'listen'\?\)"):
        load("", str(write(tmp_path, "lisen chat {}")))
    with pytest.raises(ConfigError, match="no class is defined"):
        load("", str(write(tmp_path, "pool near {}\nroute all { pool = near }")))
    with pytest.raises(ConfigError, match="no such file"):
        load("", str(tmp_path / "nothing"))
