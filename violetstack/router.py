"""All of violetstack's decisions. Its types, events and actions stand in violetstack/policy_api.

The mechanism is Phasor's Virtual Freeness (docs/design.md): a prompt goes to the reader with the most
headroom, its own reads out there priced quadratically against a budget; a place is held ahead, as the
read starts, at the writer with the most memory headroom. Defences speak the same currency, freeness.
"""

from __future__ import annotations

import random
from collections import defaultdict
from msgspec.structs import replace
from math import exp, inf

from violetstack.policy_api import (
    Action, AttemptFinished, AttemptStatus, CancelAttempt, ClassSettings, ClientDisconnected,
    DeduplicationScope, Endpoint, EndpointState, EndpointUpdate, Event, FailRequest, GossipReceived,
    HealthCheckResult, Idempotency, OutlierCheckResult, ProcessPaused, RejectRequest, ReleaseState, Request,
    ReservationResult, ReserveDecodeSlot, Role, SendAttempt, SendGossip, SendHealthCheck, SetWatch, Settings,
    ShutdownStarted, StartTimer, StreamStarted, TimerFired, UpdateScope, WriteLog, BLAMED_STATUSES,
    GOSSIPED_STATUSES, MAY_HAVE_RUN_STATUSES,
)  # fmt: skip
from violetstack.estimation.decay import MIN_SAMPLES, DecayingSum, RecentSamples
from violetstack.estimation.prefill_cost import prefill_cost
from violetstack.gossip import GossipState, codec
from violetstack.rendezvous import host_score
from violetstack.shared.rate_limit import TokenBucket, tenant_quota

NEAR = 0.1  # the design page: freeness within this of the best counts as equal
FIRST_SPEED = 1.0  # price a millisecond until any reader was heard; only scales the near-best band
FIRST_MEMORY_TOKENS = 100_000.0  # where no memory size is told and none was learned
LEARN_MS = 5_000.0  # memory of what is learned: some ten requests a server at a front of ten a second
FORGET_MS = 3_000.0  # a failure's price fades in this time, so a recovered server is tried again
PRIOR_MS = 500.0  # a server's own read times outweigh the fleet's average after this much of them
TRIED_FROM = 2  # failures in a row, before another front's word that it tries a server counts
MAX_STREAK = 6  # failures in a row double the price left behind, up to this many times
GUARD_MS, LAST_MS = 40.0, 10.0  # before a try's deadline: take reads back; answer whatever is out
HOMES = 3  # readers among which the sessions of one shared beginning are spread
PLACE_TRIES = 3  # writers asked for a place during one read
LATE_FROM = 0.6  # part of the shortest aim from which refusals begin
MOST_SESSIONS, MOST_ORDERS = 4_000, 1_000
TELL_MS, LATER_MS = 20.0, 1_000.0  # what changed within this time goes to the others in one datagram
RETRY_MS = 500.0  # between calls to a list that failed, and between probes


class Try:
    """One attempt, until its outcome."""

    def __init__(self, job: Job, n: int, server: Server, reading: bool, now: float) -> None:
        self.job, self.n, self.server, self.reading, self.sent_at = job, n, server, reading, now
        self.begun, self.price, self.claim = False, job.price, 0.0
        self.across = False  # the process saw nothing for a part of its time, so that teaches nothing
        self.ahead = 0.0  # the reads out at the server when this one was sent, itself included


class Job:
    """One request: owns its attempts, the state and the place held for it, its deadline and final answer."""

    def __init__(self, req: Request, spec: ClassSettings, shortest: float, most: int, now: float) -> None:
        self.req, self.spec, self.sent = req, spec, 0
        self.deadline = now + req.expires_in_ms
        length = req.prompt_tokens
        self.price = prefill_cost(length)
        self.aim = spec.latency_objective_ms + spec.objective_ms_per_1000_tokens * length / 1000.0
        answer = req.max_tokens
        if req.expected_answer_ms is not None and spec.inter_token_objective_ms > 0:
            answer = min(answer, req.expected_answer_ms / spec.inter_token_objective_ms)
            self.aim += spec.objective_stretch * req.expected_answer_ms
        self.arrived, self.begun = now - req.age_ms, False
        self.shortest = shortest + self.aim - spec.latency_objective_ms
        self.tokens = length + answer
        self.out: dict[int, Try] = {}
        self.state_at: Server | None = None
        self.place: Server | None = None
        self.held = self.pinned = False  # pinned: something may be held somewhere, even if forgotten here
        self.asked: list[Server] = []
        self.homes: list[Server] = []
        self.failed: list[Server] = []
        self.ran: Try | None = None
        self.done = False
        self.course, self.scope = req.route, "" if req.route is None else req.route.active_pool(now)
        self.most = most if req.route is None else min(most, req.route.max_attempts)

    def within(self, server: Server, now: float) -> bool:
        """Is the server one of those that the request's route allows?"""
        return self.course is None or self.course.contains(server.entry.server, now)

    def part(self, now: float) -> float:
        """Its age as a part of what the most impatient class would want for this length."""
        return (now - self.arrived) / max(1.0, self.shortest)

    def may_repeat(self, server: Server, now: float) -> bool:
        """Rule 2: may a (further) attempt with effect go to this server?"""
        first = self.ran
        if first is None or self.spec.idempotency is Idempotency.IDEMPOTENT:
            return True
        past_window = now >= first.sent_at + self.spec.deduplication_window_ms - GUARD_MS
        if self.spec.idempotency is Idempotency.NON_IDEMPOTENT or past_window:
            return False
        mine, theirs = server.entry, first.server.entry
        if self.spec.deduplication_scope is DeduplicationScope.ZONE:
            return mine.zone == theirs.zone
        return self.spec.deduplication_scope is DeduplicationScope.ALL or mine.cell == theirs.cell

    def refusable(self) -> bool:
        """Rule 2: a refusal says that a retry does no harm."""
        kind, everywhere = self.spec.idempotency, self.spec.deduplication_scope is DeduplicationScope.ALL
        if kind is Idempotency.IDEMPOTENT or (kind is Idempotency.IDEMPOTENCY_KEY and everywhere):
            return True
        return self.ran is None and not self.out


class Server:
    """What this front knows of one server: the list's entry, its own work there, what it learned."""

    def __init__(self, entry: Endpoint, lot: float, now: float) -> None:
        self.entry, self.usable, self.lot = entry, True, lot  # the lot differs from front to front
        self.tag, self.told, self.told_at = codec.endpoint_tag(entry.server), 0, now  # last code, when
        self.out: dict[tuple[str, int], Try] = {}
        self.places: dict[str, float] = {}
        self.forget(now)

    def forget(self, now: float) -> None:
        """A restart resets what was learned."""
        self.tickets = TokenBucket(0.0, 1.0, self.lot, now)
        self.cleared, self.busy_ms = DecayingSum(LEARN_MS), DecayingSum(LEARN_MS)
        self.left, self.blamed_at, self.streak = DecayingSum(FORGET_MS), -1.0, 0
        self.away_until = 0.0  # another front tries it
        self.share: float | None = None
        self.share_at = self.known_then = 0.0
        self.seen_tokens, self.seen_share = DecayingSum(4 * LEARN_MS), DecayingSum(4 * LEARN_MS)

    def own_reads(self) -> float:
        return sum(t.price for t in self.out.values() if t.reading) if self.out else 0.0

    def own_tokens(self) -> float:
        if not self.out and not self.places:  # most hosts, most of the time
            return 0.0
        return sum(t.job.tokens for t in self.out.values() if not t.reading) + sum(self.places.values())

    def blame(self, now: float, cost: float) -> None:
        """A failure leaves its price, in freeness and at least NEAR, doubled by each further one in a row.

        Guards against servers that fail fast and so look free, always or now and then; also against hung,
        dead and unreachable ones. Harms a server whose requests were at fault: then all are blamed alike
        and the least blamed still serves. What fails in one batch (a connection cut) is one failure.
        """
        if now == self.blamed_at:
            return
        self.blamed_at = now
        self.streak = min(MAX_STREAK, self.streak + 1)
        self.left.add(now, max(NEAR, cost) * 2.0**self.streak)


class Fleet:
    """The list, what servers of one role usually take, and the freeness of each."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.servers: dict[str, Server] = {}
        self.pools: dict[bool, list[Server]] = {True: [], False: []}
        self.orders: dict[str, list[Server]] = {}
        self.last: dict[str, str] = {}  # a session's last reader
        self.reads, self.waits = (RecentSamples(3 * MIN_SAMPLES, 2 * LEARN_MS) for _ in range(2))
        self.took = defaultdict[str, RecentSamples](lambda: RecentSamples(MIN_SAMPLES + 1, 6 * LEARN_MS))
        self.cleared, self.busy_ms = DecayingSum(LEARN_MS), DecayingSum(LEARN_MS)
        self.claimed, self.found = DecayingSum(2 * LEARN_MS), DecayingSum(2 * LEARN_MS)
        self.taken = {True: DecayingSum(12 * LEARN_MS), False: DecayingSum(12 * LEARN_MS)}
        self.recent: dict[str, DecayingSum] = {}  # by scope
        self.prior = 0.5 * sum(x.quota_per_s for x in settings.tenants) / 1000.0 / settings.dispatcher_count
        self.shared = GossipState(max((spec.client_timeout_ms for spec in settings.classes), default=0.0))

    def code(self, server: Server) -> int:
        """What the other fronts are told of our work there."""
        own = server.own_reads() if self.role(server) is Role.PREFILL else server.own_tokens()
        return codec.encode_load(own)

    def reads_out(self, server: Server) -> float:
        """Priced reads out there: ours, and what the other fronts told; of mixed servers they tell tokens."""
        others = 0.0 if self.role(server) is Role.MIXED else self.shared.load_at(server.tag)
        return server.own_reads() + others

    def tokens_out(self, server: Server) -> float:
        return server.own_tokens() + self.shared.load_at(server.tag)

    def whole(self, amount: float) -> float:
        """What all fronts have out, by what those that are heard have."""
        return amount * self.settings.dispatcher_count / (1.0 + self.shared.active_peers)

    def role(self, server: Server) -> Role:
        roles, kind = self.settings.roles, server.entry.kind
        return roles[kind] if kind < len(roles) else Role.MIXED

    def list_changed(self) -> None:
        for server in self.servers.values():
            server.usable = server.entry.state is EndpointState.HEALTHY
        usable = [(s, self.role(s)) for s in self.servers.values() if s.usable]
        self.pools = {
            True: [s for s, role in usable if role is not Role.DECODE],
            False: [s for s, role in usable if role is not Role.PREFILL],
        }
        self.orders = {}

    def forget_gone(self) -> None:
        """Guards the memory: hosts come with new ids all day; one that is gone ends with its last attempt."""
        removed = [s for s in self.servers.values() if s.entry.state is EndpointState.REMOVED]
        for server in [s for s in removed if not s.out]:
            del self.servers[server.entry.server]

    def warmth(self, server: Server, now: float) -> float:
        """Share of its capacity that a server which just started is taken to have; 1 when warm."""
        started, cold = server.entry.started_ms, self.settings.slow_start_ms
        if started is None or now >= started + cold:
            return 1.0
        share = self.settings.slow_start_capacity
        return share + (1.0 - share) * 0.5 * max(0.0, now - started) / cold

    def admits(self, server: Server, reading: bool, now: float) -> bool:
        """Rule 4: this front's share of what a cold server may be sent, as tickets spread over all fronts.

        1.25 times the told multiple of what it can take now, by what a server of its role took from this
        front (its load, not its capacity); each front's first ticket comes at a random part of the time
        between two, so that the sum of many fronts holds in any window, the first instant too. A front that
        saw little goes by its part of half of what the tenants may send, so that the sum is the same whether
        one or all of them start; without tenants, by a trickle. Could harm where servers run above 0.8.
        """
        warmth, rules = self.warmth(server, now), self.settings
        if warmth >= 1.0:
            return True
        usual = self.taken[reading].rate_per_ms_with_prior(now, self.prior) / max(1, len(self.pools[reading]))
        trickle = 1.0 / (2.0 * rules.dispatcher_count * rules.overload_window_ms)
        server.tickets.rate = max(trickle, 1.25 * rules.overload_multiple * warmth * usual)
        return server.tickets.has_token(now) and not server.places

    def speed(self, server: Server, now: float) -> float:
        """Price cleared in a millisecond: what was out when our reads went there over the time they took.

        An unheard reader counts average. Guards against readers that hang, crawl or lose our reads: one that
        is out for longer than it should counts though no outcome came. All slow alike changes no order.
        """
        average = (self.cleared.value_at(now) + FIRST_SPEED) / (self.busy_ms.value_at(now) + 1.0)
        cleared, busy = server.cleared.value_at(now), server.busy_ms.value_at(now)
        for t in server.out.values():
            if t.reading and (now - t.sent_at) * average > t.ahead:
                cleared, busy = cleared + t.ahead, busy + now - t.sent_at
        return (cleared + average * PRIOR_MS) / (busy + PRIOR_MS)

    def wait_ms(self, server: Server, job: Job, now: float) -> float:
        """How long this reader should need for the reads there and this one; 0 with none out or heard.

        This one counts at most as long as the middle read took of late. Guards the largest requests, of which
        most were refused on quiet days: a price grows as the square of the length, a time less than that.
        """
        backlog = self.reads_out(server)
        if backlog == 0.0 or not self.cleared.value_at(now):
            return 0.0
        pace = self.speed(server, now) * self.warmth(server, now)
        own = self.unread_price(server, job, now) / pace
        return backlog / pace + min(own, self.reads.median(now) or own)

    def write_wait_ms(self, scope: str, now: float) -> float:
        """How long writers let us wait: our writes that have not begun over the rate at which ours begin.

        By count, not by past times, so that nothing is refused for a jam that has drained; and at most twice
        what the oldest has waited, since at a front that sees little one write on its way is no jam.
        """
        out = [t for s in self.servers.values() for t in s.out.values()]
        waiting = [now - t.sent_at for t in out if not t.reading and not t.begun and t.job.scope == scope]
        rate = self.recent[scope].rate_per_ms(now) if scope in self.recent else 0.0
        return min(len(waiting) / rate, 2.0 * max(waiting)) if rate > 0.0 and waiting else 0.0

    def order(self, key: str) -> list[Server]:
        """The readers in the order of a hash with this key, the same at every front."""
        if key not in self.orders:
            if len(self.orders) > MOST_ORDERS:
                self.orders = {}
            self.orders[key] = sorted(self.pools[True], key=lambda s: host_score(key, s.entry.server))
        return self.orders[key]

    def homes(self, req: Request) -> list[Server]:
        """Where all fronts read this prompt: a few readers by its beginning's hash, in the session's order.

        A session comes to many fronts, so what one front remembers of it is not enough; one reader for each
        beginning is too few where the beginning is hot. Could harm where readers keep little text.
        """
        if req.prefix_id is None:
            return self.order(req.session or req.id)
        order, key = self.order(req.prefix_id), f"{req.session}\n{req.prefix_id}"
        near = sorted(order[:HOMES], key=lambda s: host_score(key, s.entry.server))
        return near + order[HOMES:]

    def claim(self, server: Server, job: Job) -> float:
        """Prompt tokens the reader is likely to keep: as the session's last reader or one of the homes."""
        if server.entry.server == self.last.get(job.req.session or ""):
            return job.req.prompt_tokens
        if job.req.session is not None and job.homes[:1] == [server]:
            return job.req.prompt_tokens
        return job.req.prefix_tokens if job.req.prefix_id and server in job.homes[:HOMES] else 0.0

    def unread_price(self, server: Server, job: Job, now: float) -> float:
        """The price of what this reader would still have to read of a prompt.

        Guards against the collapse of kept prompts: moved for small differences, each move reads all anew,
        readers saturate and more is moved. Claims are scaled by how much of them was found. Could harm when
        kept text is dropped faster than the finds tell: then a session waits at a reader for nothing.
        """
        claimed = self.claimed.value_at(now)
        trust = (self.found.value_at(now) + 1.0) / (claimed + 1.0)
        return prefill_cost(job.req.prompt_tokens - min(1.0, trust) * self.claim(server, job))

    def read_freeness(self, server: Server, job: Job, now: float) -> float:
        """Virtual Freeness of a reader with this prompt added: one minus the priced reads over the budget."""
        backlog = self.unread_price(server, job, now) + self.reads_out(server)
        if self.role(server) is Role.MIXED:
            backlog += sum(t.price for t in server.out.values() if not t.reading and not t.begun)
        budget = job.aim * self.speed(server, now)
        return 1.0 - backlog / budget - server.left.value_at(now)

    def memory(self, server: Server, now: float) -> float:
        """Memory size in tokens as we count them: told, corrected by reports against our own streams."""
        told, kind = self.settings.memory_tokens, server.entry.kind
        size = told[kind] if kind < len(told) and told[kind] > 0 else FIRST_MEMORY_TOKENS
        if server.share is None:
            return size
        learned = (server.seen_tokens.value_at(now) + size) / (server.seen_share.value_at(now) + 1.0)
        return min(2.0 * size, max(0.5 * size, learned))

    def means(self) -> tuple[float, float]:
        """Share that writers reported, and tokens known of there, on average."""
        writers = [s for s in self.pools[False] if s.share is not None]
        count = len(writers) or 1
        return sum(s.share or 0.0 for s in writers) / count, sum(map(self.tokens_out, writers)) / count

    def write_freeness(self, server: Server, now: float, means: tuple[float, float]) -> float:
        """Memory headroom of a writer: one minus its reported share and the streams known of since.

        An old report fades towards the fleet's mean, from which the writer differs by what is known of there.
        Where none came, streams alone decide, for those fronts that are not heard as well. Failures count
        as held.
        """
        size, known = self.memory(server, now), self.tokens_out(server)
        if server.share is None:
            return 1.0 - means[0] - (self.whole(known) - means[1]) / size - server.left.value_at(now)
        weight = exp((server.share_at - now) / LEARN_MS)
        share = means[0] + weight * (server.share - means[0])
        then = means[1] + weight * (server.known_then - means[1])
        return 1.0 - share - (known - then) / size - server.left.value_at(now)

    def report(self, server: Server, row: tuple[float | None, ...] | None, now: float) -> None:
        names = self.settings.load_report_fields
        values = dict(zip(names, row or (), strict=False))
        share = values.get("x0")
        if share is None:
            return
        server.share, server.share_at, server.known_then = share, now, self.tokens_out(server)
        server.seen_tokens.add(now, self.whole(server.known_then))
        server.seen_share.add(now, share)


class Router:
    """One front's decisions: events in, actions out; the clock and the seed are handed in."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.fleet = Fleet(settings)
        self.jobs: dict[str, Job] = {}
        self.random = random.Random(settings.seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.buckets = {n: tenant_quota(spec, settings) for n, spec in enumerate(settings.tenants)}
        self.shortest = min((spec.latency_objective_ms for spec in settings.classes), default=0.0)
        self.started, self.telling, self.gap = False, inf, 0.0
        self.failures: dict[bytes, None] = {}  # servers that failed us, to be told
        self.polled = 0

    def handle(self, now: float, events: list[Event]) -> list[Action]:
        self.now, self.actions, self.gap = now, [], 0.0
        if not self.started:
            self.start()
        self.fleet.shared.expire(now)
        for event in events:
            self.dispatch(event)
        return self.actions

    def start(self) -> None:
        self.started = True
        if self.settings.watch_required:
            self.act(SetWatch(True))
        if self.settings.health_checks_report_load and self.settings.health_checks_allowed:
            self.act(StartTimer(RETRY_MS, "poll"))
        if self.settings.gossip_allowed:
            self.act(SendGossip(codec.RESET_DATAGRAM))

    # --- the other fronts ---

    def tell_soon(self, within_ms: float = TELL_MS) -> None:
        """A stream's end may wait for the next word: a datagram has its price, and streams take seconds."""
        if self.settings.gossip_allowed and self.now + within_ms < self.telling:
            self.telling = self.now + within_ms
            self.act(StartTimer(within_ms, "tell"))

    def tell(self) -> None:
        """What we have out where it changed since it was told, and who failed us."""
        if self.now < self.telling - 1.0:
            return  # told since this timer was set
        self.telling = inf
        entries = [codec.LoadEntry(tag, codec.FAILURE_CODE) for tag in self.failures][:codec.MAX_ENTRIES]
        self.failures = dict.fromkeys(list(self.failures)[len(entries) :])
        busy = [s for s in self.fleet.servers.values() if s.out or s.places or s.told]
        changed = [(s, code) for s in busy if (code := self.fleet.code(s)) != s.told]
        for server, code in sorted(changed, key=lambda x: x[0].told_at)[: codec.MAX_ENTRIES - len(entries)]:
            entries.append(codec.LoadEntry(server.tag, code))
            server.told, server.told_at = code, self.now
        if entries:
            self.act(SendGossip(codec.encode_datagram(entries)))
        if len(entries) == codec.MAX_ENTRIES:  # what did not fit goes next, the longest untold first
            self.tell_soon()

    def tell_anew(self, within_ms: float) -> None:
        """All that we have out, for whoever may not know it."""
        busy = [s for s in self.fleet.servers.values() if s.out or s.places or s.told]
        for server in busy:
            server.told = codec.NOT_ANNOUNCED
        if busy:
            self.tell_soon(within_ms)

    def on_woke(self, event: ProcessPaused) -> None:
        """Nothing is decided on what was known before the gap, and nothing is learned across it."""
        self.gap = event.pause_ms
        for t in [t for job in self.jobs.values() for t in job.out.values()]:
            t.across = True
        self.fleet.shared.clear()
        if self.settings.gossip_allowed:
            self.act(SendGossip(codec.RESET_DATAGRAM))
            self.tell_anew(TELL_MS)

    def on_peer(self, message: GossipReceived) -> None:
        """Guards against learning it forty times over: a server that failed one front has failed all."""
        fleet = self.fleet
        if message.peer == self.settings.dispatcher_index:
            return
        if message.payload == codec.RESET_DATAGRAM:  # it and others that start now know none of our load
            self.tell_anew(TELL_MS * (1.0 + 9.0 * self.random.random()))
        try:
            failed = fleet.shared.receive(self.now, message.peer, message.payload, len(fleet.servers))
        except codec.GossipDecodeError as error:
            self.act(WriteLog(f"peer {message.peer}: {error}"))
            return
        for server in fleet.servers.values() if failed else ():
            if server.tag in failed:
                server.blame(self.now, 0.0)

    def on_trial(self, event: OutlierCheckResult) -> None:
        """Guards against finding out at each front: one tries what failed, and the others leave it alone.

        Its word takes nothing out by itself: two failures have to be known here, ours or told by others.
        """
        if (server := self.fleet.servers.get(event.server)) is None:
            return
        if event.recovered:
            server.left, server.streak = DecayingSum(FORGET_MS), 0
        server.away_until = self.now + event.checked_elsewhere_ms if server.streak >= TRIED_FROM else 0.0

    def act(self, action: Action) -> None:
        self.actions.append(action)

    def dispatch(self, event: Event) -> None:
        match event:
            case Request():
                self.on_request(event)
            case AttemptFinished():
                self.on_outcome(event)
            case StreamStarted():
                self.on_begun(event)
            case ReservationResult():
                self.on_place(event)
            case TimerFired():
                self.on_timer(event.token)
            case EndpointUpdate():
                self.on_list(event)
            case ClientDisconnected():
                self.on_left(event.id)
            case HealthCheckResult():
                if (server := self.fleet.servers.get(event.server)) is not None:
                    self.fleet.report(server, event.load_report, self.now)
            case GossipReceived():
                self.on_peer(event)
            case ProcessPaused():
                self.on_woke(event)
            case OutlierCheckResult():
                self.on_trial(event)
            case ShutdownStarted():
                for request_id in list(self.jobs):  # as if their time were up
                    self.on_timer(f"d:{request_id}")

    # --- the list of servers ---

    def on_list(self, news: EndpointUpdate) -> None:
        if news.scope is UpdateScope.FAILED:
            if self.settings.watch_required:
                self.act(StartTimer(RETRY_MS * (1.0 + self.random.random()), "watch"))
            return
        named = {entry.server for entry in news.endpoints}
        for name, server in self.fleet.servers.items():
            if news.scope is not UpdateScope.DELTA and name not in named:
                server.entry = replace(server.entry, state=EndpointState.REMOVED)
        for entry in news.endpoints:
            self.on_entry(entry)
        self.fleet.list_changed()
        for server in self.fleet.servers.values():
            if not server.usable and (server.places or server.out):
                self.drop(server, server.entry.state is EndpointState.REMOVED)
        self.fleet.forget_gone()

    def on_entry(self, entry: Endpoint) -> None:
        server = self.fleet.servers.get(entry.server)
        if server is None:
            server = self.fleet.servers[entry.server] = Server(entry, self.random.random(), self.now)
        elif entry.started_ms is not None and entry.started_ms != server.entry.started_ms:
            server.forget(self.now)
        server.entry = entry

    def drop(self, server: Server, gone: bool) -> None:
        """Rule 3: nothing new goes there from now on; places held there move, reads there start anew."""
        for job in [self.jobs[i] for i in list(server.places) if i in self.jobs]:
            self.forget_place(job)
            if not job.done and job.out:
                self.hold_place(job, next(iter(job.out.values())).server)
        for t in list(server.out.values()) if gone and self.settings.cancellation_allowed else ():
            if t.reading and not t.job.done:
                self.act(CancelAttempt(t.job.req.id, t.n))

    def headroom(self, now: float) -> tuple[float | None, float | None]:
        """Freeness of the best reader and writer now, for whoever watches; None where there is none."""
        fleet = self.fleet
        budgets = [(s, self.shortest * fleet.speed(s, now)) for s in fleet.pools[True]]
        reads = [
            1.0 - sum(t.price for t in s.out.values()) / budget - s.left.value_at(now)
            for s, budget in budgets if budget > 0.0
        ]  # fmt: skip
        means = fleet.means()
        writes = [fleet.write_freeness(s, now, means) for s in fleet.pools[False]]
        return max(reads, default=None), max(writes, default=None)

    def suspected(self, name: str) -> bool:
        return (server := self.fleet.servers.get(name)) is not None and server.streak >= TRIED_FROM

    def avoided(self, now: float) -> int:
        """Listed servers that are not chosen now: draining, or without any room for what failed there."""
        listed = [s for s in self.fleet.servers.values() if s.entry.state is not EndpointState.REMOVED]
        return sum(1 for s in listed if not s.usable or s.left.value_at(now) >= 1.0)

    # --- a request's way ---

    def on_request(self, req: Request) -> None:
        spec = self.settings.classes[req.class_index]
        job = self.jobs[req.id] = Job(req, spec, self.shortest, self.settings.max_attempts, self.now)
        self.act(StartTimer(max(0.0, req.expires_in_ms - GUARD_MS), f"g:{req.id}"))
        self.act(StartTimer(max(0.0, req.expires_in_ms - LAST_MS), f"d:{req.id}"))
        self.start_read(job)

    def start_read(self, job: Job) -> None:
        job.scope = job.scope if job.course is None else job.course.active_pool(self.now)
        reader = self.pick_reader(job)
        if reader is None:
            writer = self.pick_writer(job, None) if self.settings.decode_hosts_prefill else None
            if writer is None:
                self.give_up(job)
            else:
                self.send(job, writer, False)
            return
        reading = self.fleet.role(reader) is Role.PREFILL
        if self.too_late(job, reader) or (reading and not self.candidates(job, False)):
            self.give_up(job)  # the second: nobody could write the answer, so the read would be for nothing
            return
        if job.sent == 0 and (bucket := self.buckets.get(job.req.tenant_index)) is not None:
            bucket.take()
        self.send(job, reader, reading)
        route = job.course
        if reading and self.settings.reserve_ahead and (route is None or route.reservation_allowed(self.now)):
            job.asked = []
            self.hold_place(job, reader)

    def worth(self, job: Job) -> float:
        """Worth beside the dearest class; little beyond the tenant's share of what this front may pass."""
        top = max(spec.priority_weight for spec in self.settings.classes)
        worth = job.spec.priority_weight / top if top > 0 else 1.0
        bucket = self.buckets.get(job.req.tenant_index)
        if bucket is not None and not bucket.has_token(self.now):
            worth *= self.settings.over_quota_weight
        return worth

    def too_late(self, job: Job, reader: Server) -> bool:
        """Overload: refuse early what even the freest reader would end too late, cheapest worth first.

        Guards against queues in which every read ends just after it was wanted, whatever made them: bursts,
        shared slowness, lost readers, retries. One read of ours at a reader is always let in, so a wrong
        estimate heals. Could harm when late answers are worth nearly as much as timely ones.
        """
        now, worth, fleet = self.now, self.worth(job), self.fleet
        jobs = [j for j in self.jobs.values() if j.scope == job.scope]
        if fleet.shared.active_peers or len(jobs) > sum(1 for s in fleet.pools[True] if job.within(s, now)):
            wait = fleet.wait_ms(reader, job, now) + fleet.write_wait_ms(job.scope, now)
            patience = job.shortest * (0.1 + 0.4 * worth) - (now - job.arrived)
            return wait > max(0.0, min(job.deadline - now, patience))
        late = fleet.took[job.scope].lower_tercile(now, (j.part(now) for j in jobs if not j.begun))
        return self.random.random() > max(0.1, 2.0 - late / (LATE_FROM * (0.5 + 0.5 * worth)))

    def candidates(self, job: Job, reading: bool) -> list[Server]:
        now, fleet = self.now, self.fleet
        choice = [s for s in fleet.pools[reading] if fleet.admits(s, reading, now)]
        choice = [s for s in choice if job.may_repeat(s, now) and job.within(s, now)]
        return [s for s in choice if s not in job.failed and now >= s.away_until] or choice

    def pick_reader(self, job: Job) -> Server | None:
        """Highest freeness, even if negative; within NEAR of it the session's last reader, else by hash."""
        choice = self.candidates(job, True)
        if not choice:
            return None
        job.homes = [s for s in self.fleet.homes(job.req) if job.within(s, self.now)]
        free = {s.entry.server: self.fleet.read_freeness(s, job, self.now) for s in choice}
        best = max(free.values())
        near = [s for s in job.homes if free.get(s.entry.server, best - 1.0) >= best - NEAR]
        last = self.fleet.last.get(job.req.session or "")
        return next((s for s in near if s.entry.server == last), near[0])

    def pick_writer(self, job: Job, reader: Server | None) -> Server | None:
        """Highest memory freeness; within NEAR of it the reader's cell is preferred, then its zone."""
        choice = [s for s in self.candidates(job, False) if s not in job.asked]
        if not choice:
            return None
        means = self.fleet.means()
        free = {s.entry.server: self.fleet.write_freeness(s, self.now, means) for s in choice}
        best = max(free.values())

        def rank(s: Server) -> tuple[bool, int, float, float]:
            phi, close, lot = free[s.entry.server], 0, self.random.random()
            if reader is not None:
                close = 2 if s.entry.cell == reader.entry.cell else int(s.entry.zone == reader.entry.zone)
            return (True, close, lot, phi) if phi >= best - NEAR else (False, 0, phi, lot)

        return max(choice, key=rank)

    def hold_place(self, job: Job, reader: Server) -> None:
        writer = self.pick_writer(job, reader) if len(job.asked) < PLACE_TRIES else None
        if writer is None:
            return
        job.asked.append(writer)
        job.place, job.held, job.pinned = writer, False, True
        writer.places[job.req.id] = job.tokens
        self.tell_soon()
        self.act(ReserveDecodeSlot(job.req.id, writer.entry.server))

    def forget_place(self, job: Job) -> None:
        if job.place is not None:
            job.place.places.pop(job.req.id, None)
            self.tell_soon()
        job.place, job.held = None, False

    def send(self, job: Job, server: Server, reading: bool) -> None:
        n, job.sent = job.sent, job.sent + 1
        t = Try(job, n, server, reading, self.now)
        t.claim, t.price = self.fleet.claim(server, job), self.fleet.unread_price(server, job, self.now)
        t.ahead = t.price + self.fleet.reads_out(server)
        job.out[n] = server.out[(job.req.id, n)] = t
        self.tell_soon()
        server.tickets.take()
        stop_at = min(job.deadline, self.now + self.bound(job, t))
        self.act(SendAttempt(job.req.id, server.entry.server, stop_at))

    def bound(self, job: Job, t: Try) -> float:
        """How long a try may take before another is made elsewhere; the client's time where none could be.

        Half the class's aim and twice what it grants for the length, so that a long read is not cut short.
        Reads have no effect and may always be tried again; a write only where its class allows.
        """
        usual = self.fleet.reads if t.reading else self.fleet.waits
        patience = max(2.0 * job.aim - 1.5 * job.spec.latency_objective_ms, 4.0 * usual.median(self.now))
        patience /= self.fleet.warmth(t.server, self.now)
        spare = job.most - job.sent - (3 if t.reading else 2)
        may = t.reading or job.spec.idempotency is Idempotency.IDEMPOTENT
        return patience if may and spare >= 0 else job.deadline - self.now

    def on_place(self, note: ReservationResult) -> None:
        """The note comes with the reading attempt and names the reader, so it speaks of the latest place."""
        job = self.jobs.get(note.id)
        if job is None or job.place is None or note.attempt not in job.out:
            return
        if note.reserved:
            job.held = True
            return
        job.place.left.add(self.now, job.tokens / self.fleet.memory(job.place, self.now))
        self.forget_place(job)
        reads = [t for t in job.out.values() if t.reading]
        if reads and not job.done:
            self.hold_place(job, reads[0].server)

    def on_begun(self, event: StreamStarted) -> None:
        job = self.jobs.get(event.id)
        t = job.out.get(event.attempt) if job is not None else None
        if job is None or t is None:
            return
        t.begun = True
        self.forget_place(job)
        job.state_at, job.pinned = None, False
        fleet, server = self.fleet, t.server
        if not t.across:
            fleet.waits.add(self.now, event.duration_ms)
        fleet.taken[False].add(self.now, 1.0)
        fleet.recent.setdefault(job.scope, DecayingSum(2 * LEARN_MS)).add(self.now, 1.0)
        job.begun = True
        fleet.took[job.scope].add(self.now, job.part(self.now))
        server.streak = 0

    def on_outcome(self, event: AttemptFinished) -> None:
        job = self.jobs.get(event.id)
        t = job.out.pop(event.attempt, None) if job is not None else None
        if job is None or t is None:
            return
        t.server.out.pop((event.id, event.attempt), None)
        self.tell_soon(TELL_MS if t.reading or event.status in GOSSIPED_STATUSES else LATER_MS)
        self.learn(t, event)
        job.done = job.done or event.request_finished
        if job.done:
            job.pinned = job.pinned or event.status is AttemptStatus.PREFILLED
            self.close(job)
        elif event.status is AttemptStatus.PREFILLED:
            self.after_read(job, t)
        else:
            self.after_failure(job, t, event)

    def learn(self, t: Try, event: AttemptFinished) -> None:
        now, server, fleet = self.now, t.server, self.fleet
        fleet.report(server, event.load_report, now - self.gap)
        if t.reading and not t.across and event.status in (AttemptStatus.PREFILLED, AttemptStatus.TIMEOUT):
            fleet.reads.add(now, event.duration_ms)
        if event.status is AttemptStatus.TIMEOUT and not t.reading and not t.begun:
            fleet.waits.add(now, event.duration_ms)
        if event.status is AttemptStatus.PREFILLED:
            ahead = t.ahead - t.price + prefill_cost(t.job.req.prompt_tokens - event.detail)
            for owner in () if t.across else (fleet, server):
                owner.cleared.add(now, ahead)
                owner.busy_ms.add(now, event.duration_ms)
            fleet.taken[True].add(now, 1.0)
            fleet.claimed.add(now, t.claim)
            fleet.found.add(now, min(t.claim, event.detail))
            if t.job.req.session is not None:
                fleet.last.pop(t.job.req.session, None)
                fleet.last[t.job.req.session] = server.entry.server
                if len(fleet.last) > MOST_SESSIONS:
                    del fleet.last[next(iter(fleet.last))]
            server.streak = 0
        state_lost = event.status is AttemptStatus.REJECTED and event.detail == 1
        if event.status in BLAMED_STATUSES and not t.begun and not state_lost:
            budget = t.job.aim * fleet.speed(server, now) if t.reading else fleet.memory(server, now)
            server.blame(now, (t.price if t.reading else t.job.tokens) / budget)
            if event.status in GOSSIPED_STATUSES:
                self.failures[server.tag] = None

    def after_read(self, job: Job, t: Try) -> None:
        """The state goes on in the same batch, to the held writer, else to the freest, or is let go."""
        job.state_at, job.pinned = t.server, True
        self.write(job)

    def write(self, job: Job) -> None:
        writer = job.place if job.held else None
        if writer is None or not job.may_repeat(writer, self.now):
            self.forget_place(job)
            job.asked = []
            writer = self.pick_writer(job, job.state_at)
        if writer is None or job.sent >= job.most:
            self.give_up(job)
        else:
            self.send(job, writer, False)
            writer.places.pop(job.req.id, None)

    def after_failure(self, job: Job, t: Try, event: AttemptFinished) -> None:
        """Another try, where attempts, time and the class's effect rule allow; else the final answer."""
        job.failed.append(t.server)
        if not t.reading and event.status in MAY_HAVE_RUN_STATUSES:
            job.ran = job.ran or t
        if job.out:
            return
        again = job.most - job.sent
        rejected = event.status is AttemptStatus.REJECTED
        no_state = event.status is AttemptStatus.ERROR or (rejected and event.detail == 1)
        lost = t.reading or job.held or job.state_at is None or no_state
        late = self.now >= job.deadline - GUARD_MS
        away = rejected and event.detail != 1 and set(job.failed).issuperset(self.candidates(job, t.reading))
        spent = late or away or again < (2 if lost else 1)
        if spent or (job.course is not None and not job.course.take_retry(self.now)):
            self.give_up(job)
        elif lost:
            self.let_go(job)
            self.start_read(job)
        else:
            self.write(job)

    # --- ends ---

    def let_go(self, job: Job) -> None:
        """Rule 5: once no attempt is out, whatever is held for the request is released."""
        if job.pinned:
            self.act(ReleaseState(job.req.id))
        self.forget_place(job)
        job.state_at, job.pinned = None, False

    def close(self, job: Job) -> None:
        if not job.out:
            self.let_go(job)
            self.jobs.pop(job.req.id, None)

    def give_up(self, job: Job) -> None:
        """The final answer: a refusal with advice where a retry is known to be harmless, else a failure."""
        if job.refusable():
            advice = min(self.settings.max_retry_after_ms, job.aim) if self.settings.send_retry_after else 0.0
            self.act(RejectRequest(job.req.id, advice))
        else:
            self.act(FailRequest(job.req.id))
        self.end(job)

    def end(self, job: Job) -> None:
        job.done = True
        self.withdraw(job)
        self.close(job)

    def withdraw(self, job: Job) -> None:
        if self.settings.cancellation_allowed:
            for t in job.out.values():
                if not t.begun:
                    self.act(CancelAttempt(job.req.id, t.n))

    def on_left(self, request_id: str) -> None:
        if (job := self.jobs.get(request_id)) is not None:
            self.end(job)

    def on_timer(self, token: str) -> None:
        kind, _, rest = token.partition(":")
        if kind == "watch":
            self.act(SetWatch(True))
        elif kind == "poll":
            self.poll()
        elif kind == "tell":
            self.tell()
        job = self.jobs.get(rest)
        if job is None or job.done or any(t.begun for t in job.out.values()):
            return
        if kind == "d":
            self.give_up(job)
        elif kind == "g" and all(t.reading for t in job.out.values()):
            self.withdraw(job)

    def poll(self) -> None:
        servers = [s for s in self.fleet.servers.values() if s.usable]
        if servers:
            self.polled += 1
            self.act(SendHealthCheck(servers[self.polled % len(servers)].entry.server))
        self.act(StartTimer(RETRY_MS, "poll"))
