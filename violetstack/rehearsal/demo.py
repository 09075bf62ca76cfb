"""`violetstack demo`: a dispatcher with scripted hosts in one process, and one streamed request.

The operator's file is embedded, and is read and checked like any other: two pools of prefill and decode
hosts, a route for each class, a ledger of idempotency keys for orders.
"""

from __future__ import annotations

import signal
import tempfile
from pathlib import Path
from typing import Any

import click
import trio

from violetstack import log
from violetstack.config import Address, Config, load
from violetstack.daemon.daemon import Daemon
from violetstack.rehearsal.clients import ask_chat, chat_body, chat_headers
from violetstack.rehearsal.discovery import Discovery
from violetstack.rehearsal.hosts import ModelHost

KEY = "demo-key"
FILE = """
listen chat { address = "127.0.0.1:%(port)d" }
fleet { discovery = "%(discovery)s" hold_ahead = true release = 1s reports = inline report_names = [rif, x0] }
limits { attempts = 5 cancel = true retry_after = true most_retry_after = 1s connect_timeout = 250ms }
ledger { file = "%(folder)s/orders.sqlite" }

kind prefill { stage = read memory = 200ktok }
kind decode { stage = write memory = 200ktok }
class consulta { aim = 1.5s give_up = 7.5s effect = repeatable worth = 3 }
class orden { aim = 2.5s give_up = 10s effect = once worth = 2 }
tenant demo { share = 100%% rate = 20 req/s }
key demo { secret = "%(key)s" tenant = demo }
model giro-consulta { class = consulta }
model giro-orden { class = orden }

pool near { members = cell == 0 fallback = [far] }
pool far { members = cell == 1 }
route orders { when = class == orden pool = far }
route all { pool = near }
"""


class _RequestLog:
    """Keeps the log line of the last request, from which the demo prints how it was served."""

    def __init__(self) -> None:
        self.line: dict[str, Any] | None = None
        self.received = trio.Event()

    def __call__(self, line: dict[str, Any]) -> None:
        if line["event"] == "request":
            self.line = line
            self.received.set()


def run(port: int, once: bool) -> int:
    """Run the demo; return 0 if the request was served, 1 if not, 2 if a port could not be bound."""
    with tempfile.TemporaryDirectory() as folder:
        code = 2
        try:
            code = trio.run(_run, port, once, Path(folder))
        except* OSError as errors:
            click.echo(f"can't listen on port {port}: {errors.exceptions[0]}", err=True)
        return code


async def _run(port: int, once: bool, folder: Path) -> int:
    hosts = [ModelHost(f"{kind}-{n}", kind, cell=n) for kind in ("prefill", "decode") for n in (0, 1)]
    log.quiet, request_log = True, _RequestLog()
    log.observers.append(request_log)
    try:
        async with trio.open_nursery() as nursery:
            for host in hosts:
                await nursery.start(host.serve)
            discovery = Discovery(*(host.row() for host in hosts))
            await nursery.start(discovery.serve)
            values = {"port": port, "discovery": discovery.address, "folder": folder, "key": KEY}
            file = folder / "operator.violet"
            file.touch(mode=0o600)
            file.write_text(FILE % values)
            daemon = Daemon(config(file))
            serving = await nursery.start(daemon.serve)
            while len(daemon.core.endpoints) < len(hosts):
                await trio.sleep(0.01)
            served = await _ask(serving.chat, request_log)
            if not once:
                await _stay(serving.chat)
            nursery.cancel_scope.cancel()
    finally:
        log.observers.remove(request_log)
    return 0 if served else 1


def config(file: Path) -> Config:
    return load("", str(file))


async def _ask(at: Address, request_log: _RequestLog) -> bool:
    click.echo(f"the chat front listens on http://{at[0]}:{at[1]}; response to a streamed request:\n")
    answer = await ask_chat(at, chat_body("giro-consulta", "How much is the fee?"), chat_headers(key=KEY))
    for event in answer.events:
        click.echo(f"    data: {event.decode()}")
    await request_log.received.wait()
    line = request_log.line or {}
    hosts = ", ".join(f"{server} ({status}, {ms} ms)" for server, status, ms, *_ in line.get("attempts", ()))
    click.echo(f"\n{line.get('answer')} by route {line.get('route')}, pool {line.get('pool')}: {hosts}")
    return answer.outcome == "served"


async def _stay(at: Address) -> None:
    url = f"http://{at[0]}:{at[1]}/v1/chat/completions"
    click.echo(
        "\nThe demo runs until Ctrl-C. Orders take another route, and an order sent twice runs once:\n\n"
        f"    curl -N {url} -H 'Authorization: Bearer {KEY}' \\\n"
        '      -d \'{"model":"giro-consulta","stream":true,'
        '"messages":[{"role":"user","content":"hello"}]}\'\n\n'
        f"    curl -i {url} -H 'Authorization: Bearer {KEY}' -H 'Idempotency-Key: order-1' \\\n"
        '      -d \'{"model":"giro-orden","messages":[{"role":"user","content":"ten to Ana"}]}\'\n'
    )
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            return
