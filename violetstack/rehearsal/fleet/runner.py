"""A run: processes, agents, relay, hosts and clients, and the troubles of its plan.

Nothing outlives it: processes die with this one, and each run has loopback addresses of its own.
"""

from __future__ import annotations

import math
import random
import signal
import time
from itertools import count
from pathlib import Path
from statistics import median
from typing import Any

import msgspec
import trio

from violetstack.config import Address
from violetstack.lease.messages import MessageType, decode, is_lease_datagram
from violetstack.rehearsal.fleet.addresses import loopback_address
from violetstack.rehearsal.fleet.audit import Asked, Audit, Line, lines, to_full_s
from violetstack.rehearsal.fleet.hosts import COLD_S, COLD_SHARE, STREAM_S, Engine
from violetstack.rehearsal.fleet.minimal_http import Client, Ended, connect, message
from violetstack.rehearsal.fleet.network import HEARD, SAID, Agent, Relay
from violetstack.rehearsal.fleet.plan import Plan, Trouble, numbers
from violetstack.rehearsal.fleet.programs import ROOT, Program
from violetstack.rehearsal.fleet.report import LeaseHolder, Result
from violetstack.rehearsal.stage import SETTINGS

GIVE_UP_S = 5.0
READ_S = 0.1  # how long a reader needs for the mean prompt
ADMIN_PORT = 5001
TERM_S = 3.7
VOID_LAG_S = 0.25  # stand-ins that were later than this measured themselves
READY = b"GET /-/ready HTTP/1.1\r\nHost: app.svc\r\n\r\n"
BODY = b'{"model":"chat","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"%b"}]}'
LOUD = frozenset(
    {
        "upstream_response_truncated",
        "policy_failed",
        "action_failed",
        "attempt_failed",
        "request_overdue",
        "gossip_datagram_rejected",
    }
)


RUNS = count()


class Ground:
    def __init__(self, plan: Plan, root: Path = ROOT) -> None:
        self.plan, self.random, self.root = plan, random.Random(plan.seed), root
        self._run = next(RUNS)
        rules = SETTINGS["rules"]
        self.audit = Audit(
            rules["stop_sending_within"] / 1000.0,
            SETTINGS["family_info"]["release"] / 1000.0,
            rules["fall"] / 1000.0,
            rules["fall_multiple"],
        )
        self.nursery: trio.Nursery
        self.began = time.monotonic()
        self.programs: list[Program] = []
        self.agents: list[Agent] = []
        self.engines: dict[str, Engine] = {}
        self.relay: Relay
        self.inside: list[tuple[float, int]] = []
        self.ready_s: list[float] = []
        self.crashed: list[str] = []
        # A relay carries what would cost each sender a call a receiver: only where it is to lose something.
        self.relayed = "duties" in plan.file or any(each.do == "network" for each in plan.trouble)
        self.struck: set[int] = set()  # whose links were broken
        self.lag = 0.0
        self._asked = 0
        self._starts = 0

    def now(self) -> float:
        return time.monotonic() - self.began

    def address(self, number: int, port: int) -> Address:
        return loopback_address(number, port, self._run)

    # --- the pieces ---

    def _engine(self, name: str, kind: str, born: float | None = None) -> Engine:
        plan = self.plan
        count = plan.readers if kind == "prefill" else plan.writers
        work_s = READ_S if kind == "prefill" else STREAM_S
        slots = max(2, math.ceil(plan.rate / count / plan.load * work_s))
        return Engine(
            name,
            kind,
            slots=slots,
            queue=4 * slots,
            work_s=work_s,
            audit=self.audit,
            clock=self.now,
            born=born,
        )

    def _told(self, number: int, rows: list[dict[str, Any]]) -> dict[str, Any]:
        plan = self.plan
        settings = {
            **SETTINGS,
            "fleet_size": plan.dispatchers,
            "me": number,
            "parties": [{"name": "acme", "fraction": 1.0, "allowance_per_s": 2.0 * plan.rate}],
            "limits": {**SETTINGS["limits"], "peers": plan.tells},
            "rules": {**SETTINGS["rules"], "cold_share": COLD_SHARE, "cold": COLD_S * 1000.0},
        }
        own = self.address(number, HEARD)
        relayed = self.relayed
        at = [self.address(n, SAID if relayed and n != number else HEARD) for n in range(plan.dispatchers)]
        everyone = self.address(number, SAID) if relayed else None
        host, port = self.address(number, 5000)
        return {
            "mgmt": f"{host}:{ADMIN_PORT}" if plan.admin_api else None,
            "name": f"n{number}",
            "listen": f"{host}:{port}",
            "discovery": self.agents[number].address,
            "peer_listen": f"{own[0]}:{own[1]}",
            "peers": [f"{host}:{port}" for host, port in at],
            "peers_all": f"{everyone[0]}:{everyone[1]}" if everyone is not None else None,
            "limits": {"sockets": plan.sockets, "memory_mb": 192.0},
            "known": {"version": 1, "full": True, "servers": rows},
            "settings": settings,
        }

    async def run(self) -> Result:
        plan = self.plan
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            kinds = [("prefill", f"r{n}") for n in range(plan.readers)]
            kinds += [("decode", f"w{n}") for n in range(plan.writers)]
            for kind, name in kinds:
                self.engines[name] = self._engine(name, kind)
                await nursery.start(self.engines[name].serve)
            rows: list[dict[str, Any]] = [engine.row() for engine in self.engines.values()]
            self.relay = Relay(plan.dispatchers, plan.seed, self.address, nursery)
            if self.relayed:
                self.relay.saw = self._saw
                await self.relay.open()
            for n in range(plan.dispatchers):
                self.agents.append(Agent(n, rows, self.audit.told, self.now))
                await nursery.start(self.agents[n].serve)
                if self.relayed:
                    nursery.start_soon(self.relay.run, n)
            try:
                for n in range(plan.dispatchers):
                    program = Program(n, self.address(n, 5000), self._told(n, rows), plan, self.root)
                    self.programs.append(program)
                    self._start(program)
                    nursery.start_soon(self._watch, program)
                with trio.fail_after(30.0):
                    while any(p.ready_at == math.inf for p in self.programs):
                        await trio.sleep(0.02)
                self.began = time.monotonic()
                self.lag = 0.0
                self.audit.holders = []
                self.inside = []
                self.ready_s = []
                for agent in self.agents:
                    agent.calls = []
                for p in self.programs:
                    p.last_yes = 0.0
                nursery.start_soon(self._measure)
                for trouble in plan.trouble:
                    nursery.start_soon(self._strike, trouble)
                await self._clients()
                await trio.sleep(GIVE_UP_S + 0.6)
            finally:
                for program in self.programs:
                    program.end()
                self.relay.close()
            nursery.cancel_scope.cancel()
        return self._result()

    def _saw(self, by: int, data: bytes) -> None:
        """Audit each broadcast under a lease as it leaves its holder."""
        if is_lease_datagram(data):
            for message in decode(data).messages:
                if message.type is MessageType.BROADCAST:
                    self.audit.lease_broadcast(self.now(), by, message.lease_id, message.fencing_token)

    def _start(self, program: Program) -> None:
        self._starts += 1
        program.start(self.now(), self.plan.seed * 10_000 + self._starts)

    async def _watch(self, program: Program) -> None:
        """The front's view of one dispatcher, and whether its process lives."""
        while True:
            code = program.process.poll() if program.process is not None else None
            if program.wanted and code == 0 and self.plan.supervised:
                self.audit.excuse({program.number}, self.now())
                self._start(program)
            elif program.wanted and code is not None:
                self.crashed.append(f"dispatcher {program.number} ended with {code}")
                program.wanted = False
            admitted = self.now() - program.last_yes < self.plan.notice
            try:
                with trio.fail_after(0.5):
                    async with await connect(program.at) as stream:
                        client = Client(stream)
                        await client.ask(READY)
                        if client.answer.status == 200:
                            program.last_yes = self.now()
                            if program.ready_at == math.inf:
                                program.ready_at = program.last_yes
                                self.ready_s.append(program.ready_at - program.started_at)
            except (OSError, Ended, trio.TooSlowError):
                pass
            await trio.sleep(0.4 if admitted else 0.05)

    async def _measure(self) -> None:
        """How late the stand-ins are, and the most at once inside of one host."""
        while True:
            before = self.now()
            await trio.sleep(0.02)
            self.lag = max(self.lag, self.now() - before - 0.02)
            self.audit.lag = self.lag
            inside = [e.inside for e in self.engines.values() if e.kind == "prefill"]
            self.inside.append((self.now(), max(inside, default=0)))

    # --- clients ---

    async def _clients(self) -> None:
        at = 0.0
        while at < self.plan.seconds:
            at += self.random.expovariate(self.plan.rate)
            await trio.sleep(max(0.0, at - self.now()))
            length = min(16_000, int(self.random.lognormvariate(8.5, 0.6)))
            self.nursery.start_soon(self._ask, length, self.random.random() < 0.36, self.random.randrange(40))

    async def _ask(self, length: int, order: bool, session: int) -> None:
        """With up to two further tries where a retry is harmless, each after a wait."""
        for n in range(3):
            answer, advice = await self._once(length, order, session, n == 0)
            if answer not in ("refused", "unreached"):
                return
            await trio.sleep(advice + 0.1 * 2**n * (0.5 + self.random.random()))

    async def _once(self, length: int, order: bool, session: int, first: bool) -> tuple[str, float]:
        there = [p for p in self.programs if self.now() - p.last_yes < self.plan.notice]
        if not there:
            there = self.programs
        program = self.random.choice(there)
        now = self.now()
        self._asked += 1
        asked = Asked(f"q{self._asked}", program.number, order, first, now, now + GIVE_UP_S)
        self.audit.asked[asked.id] = asked
        headers = {
            "Host": "app.svc",
            "Req-Id": asked.id,
            "Req-Kind": "orden" if order else "consulta",
            "Req-Owner": "acme",
            "Req-Key": f"s{session}",
            "Req-Deadline": f"{GIVE_UP_S * 1000:.0f}m",
            "Req-Extra": f"prefix=p{session % 8},prompt_len={length // 4},prefix_len={length // 8},"
            "max_out=50",
        }
        request = message("POST /v1/chat/completions HTTP/1.1", headers, BODY % (b"x" * length))
        client: Client | None = None
        try:
            with trio.move_on_after(GIVE_UP_S + 3.0):
                client = await self._talk(program, asked, request)
        except OSError:
            asked.excused = True
        asked.ended = self.now()
        asked.answer = client.answer.outcome if client is not None else "unreached"
        return asked.answer, client.answer.retry_after if client is not None else 0.0

    async def _talk(self, program: Program, asked: Asked, request: bytes) -> Client:
        """On a connection that was kept, or a new one: what crosses the end of a kept one is sent once
        more."""
        while True:
            kept = bool(program.idle)
            client = Client(program.idle.pop() if kept else await connect(program.at))
            try:
                await client.ask(request)
                asked.first = self.now() if client.answer.first else None
                if client.answer.first:
                    await client.finish()
                if client.answer.kept:
                    program.idle.append(client.wire.stream)
                else:
                    await client.wire.stream.aclose()
                return client
            except Ended:
                client.wire.stream.socket.close()
                if not kept or client.answer.status:
                    return client

    # --- troubles ---

    async def _strike(self, trouble: Trouble) -> None:
        await trio.sleep(max(0.0, trouble.at - self.now()))
        if trouble.do in ("drain", "replace"):
            await self._change_hosts(trouble)
            return
        if trouble.do == "fail":
            hosts = [self.engines[name.strip()] for name in trouble.who.split(",")]
            for engine in hosts:
                engine.fails = True
            await trio.sleep(trouble.lasts or math.inf)
            for engine in hosts:
                engine.fails = False
            return
        if trouble.who == "holder":
            holder = self.audit.holder()
            hit = [] if holder is None else [holder]
        else:
            hit = numbers(trouble.who, self.plan.dispatchers)
        if trouble.do == "discovery":
            self._agents(hit, trouble.how)
            await trio.sleep(trouble.lasts or math.inf)
            self._agents(hit, "")
        elif trouble.do == "link":
            self.audit.broken |= set(hit)
            self.struck |= set(hit)
            await trio.sleep(trouble.lasts or math.inf)
            self.audit.broken -= set(hit)
        elif trouble.do == "network":
            self.relay.how.update(dict.fromkeys(hit, trouble.how))
            await trio.sleep(trouble.lasts or math.inf)
            for n in hit:
                self.relay.how.pop(n, None)
        else:
            await self._hit(trouble, [self.programs[n] for n in hit])

    def _agents(self, hit: list[int], mode: str) -> None:
        for n in hit:
            self.agents[n].mode = mode
            self.agents[n].hang_up()

    async def _hit(self, trouble: Trouble, programs: list[Program]) -> None:
        numbers_hit = {p.number for p in programs}
        if trouble.do == "stop":
            for p in programs:
                p.send(signal.SIGSTOP)
            await trio.sleep(trouble.lasts)
            self.audit.excuse(numbers_hit, self.now())
            for p in programs:
                p.send(signal.SIGCONT)
            return
        for p in programs:
            p.wanted = False
            p.send(signal.SIGTERM if trouble.do == "term" else signal.SIGKILL)
        if trouble.do == "term":
            async with trio.open_nursery() as nursery:
                for p in programs:
                    nursery.start_soon(self._again, p, trouble.lasts or TERM_S)
            return
        self.audit.excuse(numbers_hit, self.now())
        await trio.sleep(trouble.lasts)
        for p in programs:
            p.end()
            self._start(p)
            await trio.sleep(0.001)  # a fork takes long enough to count as late

    async def _again(self, program: Program, within_s: float) -> None:
        """After SIGTERM: a new start once it has ended, SIGKILL where it does not."""
        with trio.move_on_after(within_s):
            while program.process is not None and program.process.poll() is None:
                await trio.sleep(0.02)
        self.audit.excuse({program.number}, self.now())
        program.end()
        self._start(program)

    async def _change_hosts(self, trouble: Trouble) -> None:
        """A drain is told to all; a replaced host is gone, and its successor, with another id, is cold."""
        rows: list[dict[str, Any]] = []
        for name in (part.strip() for part in trouble.who.split(",")):
            engine = self.engines[name]
            engine.state = "leaving" if trouble.do == "drain" else "left"
            rows.append(engine.row())
            if trouble.do == "replace":
                engine.die()
                del self.engines[name]
                heir = self._engine(f"{name}+", engine.kind, self.now())
                self.engines[heir.name] = heir
                await self.nursery.start(heir.serve)
                rows.append(heir.row(time.time() * 1000.0))
        for agent in self.agents:
            agent.tell(*rows)

    def _result(self) -> Result:
        plan = self.plan
        audit = self.audit
        audit.close(self.now())
        calls = [at for agent in self.agents for at in agent.calls]
        rows: list[Line] = lines(list(audit.asked.values()), self.inside, calls, plan.seconds)
        answers: dict[str, int] = {}
        for each in audit.asked.values():
            answers[each.answer] = answers.get(each.answer, 0) + 1
        events: dict[str, int] = {}
        loud: list[str] = []
        ends: list[tuple[float, float, int]] = []
        for program in self.programs:
            for line in program.events():
                if line["event"] == "shutdown_started":
                    ends.append((line["at"], math.inf, program.number))
                elif line["event"] == "stopped":
                    ends[-1] = (ends[-1][0], line["at"], program.number)
                if line["event"] in LOUD and len(loud) < 20:
                    loud.append(f"n{program.number}: {line}")
                events[line["event"]] = events.get(line["event"], 0) + 1
            program.log.close()
        return Result(
            [msgspec.to_builtins(row) for row in rows],
            to_full_s(rows, plan.warm / 2, plan.fault_at, plan.over_at),
            [round(s, 3) for s in self.ready_s],
            audit.breaches,
            audit.stale,
            answers,
            round(self.lag, 3),
            self.lag > VOID_LAG_S,
            self.crashed,
            events,
            loud,
            dict(audit.failures),
            [
                LeaseHolder(round(row.first, 2), round(row.last, 2), row.dispatcher, row.fencing_token)
                for row in audit.holders
            ],
            sorted(ends),
            self._others(),
        )

    def _others(self) -> tuple[int, int, float] | None:
        """Of the dispatchers whose links held, while others' were broken: asked, served, first token, ms."""
        plan = self.plan
        times = [(each.at, each.at + each.lasts) for each in plan.trouble if each.do == "link"]
        rows = [
            each
            for each in self.audit.asked.values()
            if each.first_try
            and each.dispatcher not in self.struck
            and any(first <= each.sent < last for first, last in times)
        ]
        firsts = [(each.first - each.sent) * 1000.0 for each in rows if each.first is not None]
        if not firsts:
            return None
        return len(rows), sum(each.answer == "served" for each in rows), round(median(firsts), 1)


def play(plan: Plan, root: Path = ROOT) -> Result:
    """`root`: the tree whose `run` is started. The stand-ins have a core of their own, if there are three."""
    return trio.run(Ground(plan, root).run)
