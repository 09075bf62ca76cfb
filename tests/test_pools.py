"""Routing by an operator's file over loopback sockets: lost pools, reloads and invalid files."""

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


def two_pools(*acts: Act, far: tuple[Act, ...] = ()) -> list[ModelHost]:
    """Returns a prefill host and a decode host in each of the two pools."""
    near = [ModelHost("r0", "prefill"), ModelHost("w0", "decode", *acts)]
    return near + [ModelHost("r1", "prefill", cell=1), ModelHost("w1", "decode", *far, cell=1)]


def write_file(folder: Path, text: str = FILE) -> Path:
    path = folder / "operator.violet"
    path.write_text(text)
    return path


def reload_file(on: Stage, path: Path) -> None:
    def load_config() -> Config:
        try:
            config = on.config()
            config.routing_plan = load_file(path)[0].plan
        except OperatorConfigError as error:
            raise ConfigError(str(error)) from None
        return config

    on.daemon.reload(load_config)


def test_both_fronts_apply_routes_pools_and_policies(tmp_path: Path) -> None:
    hosts = two_pools()
    lines: list[dict[str, object]] = []

    async def story(on: Stage) -> None:
        for n in range(4):
            assert (await ask_platform(on.platform, f"q{n}", "consulta")).outcome == "served"
        assert (await ask_chat(on.chat, chat_body("giro-consulta"))).outcome == "served"
        assert not hosts[2].received_ids and not hosts[3].received_ids and len(hosts[1].received_ids) == 5
        assert (await ask_chat(on.chat, chat_body("giro-consulta", "x" * 1700))).outcome == "served"
        assert len(hosts[3].received_ids) == 1
        long_body = await ask_chat(on.chat, chat_body("giro-consulta", "x" * 3000))
        assert (long_body.status, long_body.json["error"]["code"]) == (413, "body_too_long")
        longer_body = await ask_chat(on.chat, chat_body("giro-consulta", "x" * 200_000, n=1))
        assert longer_body.status == 413
        while on.daemon.core.open_requests:
            await trio.sleep(0.001)

    log.observers.append(lines.append)
    try:
        play(*hosts, story=story, file=write_file(tmp_path))
    finally:
        log.observers.remove(lines.append)
    routed = [
        (line["route"], line["pool"], line["front"], line["class"])
        for line in lines
        if line["event"] == "request"
    ]
    assert routed[0] == ("all", "near", "platform", "consulta") and routed[-1][:3] == ("short", "far", "chat")


def test_a_request_without_a_route_is_rejected_and_reaches_no_host(tmp_path: Path) -> None:
    hosts = two_pools()

    async def story(on: Stage) -> None:
        answer = await ask_platform(on.platform, "q1", "consulta")
        assert answer.status == 404
        chat = await ask_chat(on.chat, chat_body("giro-consulta"))
        assert (chat.status, chat.json["error"]["code"]) == (404, "no_route")
        assert not any(host.received_ids for host in hosts)

    route = "route orders { when = class == orden pool = near policy = small }\n"
    text = FILE[: FILE.index("route short")] + route
    play(*hosts, story=story, file=write_file(tmp_path, text))


def test_requests_of_a_lost_pool_go_to_its_fallback_and_no_request_runs_twice(tmp_path: Path) -> None:
    """The only decode host of the near pool dies with requests in flight, and another one is added later."""
    hold = trio.Event()
    hosts = two_pools(*[Act(events=1, pause=hold)] * 3)
    outcomes: dict[str, str] = {}

    async def story(on: Stage) -> None:
        async def ask(n: int) -> None:
            kind = "orden" if n < 3 or n % 2 else "consulta"
            answer = await ask_platform(on.platform, f"q{n}", kind, text=f"text {n}")
            outcomes[f"q{n}"] = answer.outcome

        async def ask_each(numbers: range) -> None:
            for n in numbers:
                await ask(n)

        async with trio.open_nursery() as clients:
            for n in range(3):
                clients.start_soon(ask, n)
            await hosts[1].until(lambda: len(hosts[1].received_ids) == 3)
            hosts[1].die()
            on.discovery.publish(hosts[1].row(state="left"))
            while "w0" in on.daemon.core.endpoints:
                await trio.sleep(0.001)
            for offset in range(3):
                clients.start_soon(ask_each, range(3 + offset, 30, 3))
        # The outcome depends on whether the first event had arrived.
        assert {outcomes[f"q{n}"] for n in range(3)} <= {"cut", "failed"}
        later = [outcomes[f"q{n}"] for n in range(3, 30)]
        assert set(later) <= {"served", "refused"} and later.count("served") >= 20
        assert len(hosts[3].received_ids) == later.count("served")
        assert max((hosts[1].runs + hosts[3].runs).values()) == 1
        new_host = ModelHost("w2", "decode")
        await on.nursery.start(new_host.serve)
        on.discovery.publish(new_host.row())
        while "w2" not in on.daemon.core.endpoints:
            await trio.sleep(0.001)
        n = 30
        while not new_host.received_ids:  # only after the recovery delay
            await ask(n)
            n += 1
        assert outcomes[f"q{n - 1}"] == "served"

    play(*hosts, story=story, file=write_file(tmp_path))


def test_a_reload_changes_a_route_while_streams_of_the_old_generation_continue(tmp_path: Path) -> None:
    hold = trio.Event()
    hosts = two_pools(*[Act(pause=hold)] * 4)
    path = write_file(tmp_path)

    async def story(on: Stage) -> None:
        calls = []
        for _ in range(4):
            call = await connect(on.chat)
            await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
            await call.receive(events=1)
            calls.append(call)
        path.write_text(FILE.replace("pool = near }", "pool = far }"))
        reload_file(on, path)
        routing = on.daemon.routing
        assert routing is not None and [generation.open_requests for generation in routing.previous] == [4]
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"
        assert hosts[3].received_ids == ["q1"] and len(hosts[1].received_ids) == 4
        hold.set()
        for call in calls:
            assert (await call.receive()).outcome == "served"
        while on.daemon.core.open_requests:
            await trio.sleep(0.001)
        assert routing.previous == [] and routing.current.number == 2

    play(*hosts, story=story, file=path)


def test_an_invalid_file_changes_nothing_and_its_error_has_a_location(
    tmp_path: Path, capfd: pytest.CaptureFixture[str]
) -> None:
    hosts = two_pools()
    path = write_file(tmp_path)

    async def story(on: Stage) -> None:
        path.write_text(FILE.replace("pool = near }", "pool = naer }"))
        reload_file(on, path)
        assert on.daemon.routing is not None and on.daemon.routing.current.number == 1
        assert (await ask_platform(on.platform, "q1", "consulta")).outcome == "served"

    play(*hosts, story=story, file=path)
    error_line = next(line for line in capfd.readouterr().out.splitlines() if "config_reload_failed" in line)
    assert (
        "operator.violet:8:" in error_line
        and "no pool 'naer'" in error_line
        and "did you mean 'near'" in error_line
    )


def test_a_thousand_reloads_with_open_streams_leak_no_memory(tmp_path: Path) -> None:
    """Only the generations of open streams are kept, not those in between."""
    hold = trio.Event()
    hosts = two_pools(*[Act(pause=hold)] * 4)
    path = write_file(tmp_path)
    plan = load_file(path)[0].plan

    async def story(on: Stage) -> None:
        def load_config() -> Config:
            config = on.config()
            config.routing_plan = plan
            return config

        def allocated_after(count: int) -> int:
            for _ in range(count):
                on.daemon.reload(load_config)
            gc.collect()
            return tracemalloc.get_traced_memory()[0]

        calls = [await connect(on.chat) for _ in range(4)]
        for call in calls:
            await call.send("POST", "/v1/chat/completions", chat_headers(), chat_body("giro-consulta"))
            await call.receive(events=1)
            allocated_after(50)
        routing = on.daemon.routing
        assert (
            routing is not None and [generation.open_requests for generation in routing.previous] == [1] * 4
        )
        tracemalloc.start()
        first = allocated_after(100)
        last = allocated_after(800)
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


def test_the_whole_configuration_is_loaded_from_one_file(tmp_path: Path) -> None:
    text = 'listen platform { address = "127.0.0.1:0" } machine { memory = 64MiB descriptors = 300 }' + FILE
    config = load("", str(write_file(tmp_path, text)))
    assert (config.limits.memory_mb, config.limits.sockets, config.listen) == (64.0, 300, ("127.0.0.1", 0))
    assert [c.latency_objective_ms for c in config.settings.classes] == [
        1500.0,
        2500.0,
    ] and config.chat is None
    with pytest.raises(ConfigError, match=r"violet:1:1: there is no 'lisen' \(did you mean 'listen'\?\)"):
        load("", str(write_file(tmp_path, "lisen chat {}")))
    with pytest.raises(ConfigError, match="no class is defined"):
        load("", str(write_file(tmp_path, "pool near {}\nroute all { pool = near }")))
    with pytest.raises(ConfigError, match="no such file"):
        load("", str(tmp_path / "nothing"))
