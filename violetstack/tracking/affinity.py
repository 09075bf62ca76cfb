"""Affinity of prompts to the prefill hosts that are likely to have them cached.

Hosts are ranked by rendezvous hashing of the prompt's shared prefix, or of its session, so that all
dispatchers agree without communication. In addition, each dispatcher remembers the last prefill host of its
sessions.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable

from violetstack.policy_api import Request
from violetstack.rendezvous import host_scores
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState

HOSTS_PER_PREFIX = 3  # the sessions of one shared prefix are spread over this many hosts
MAX_SESSIONS = 4_000
MAX_RANKINGS = 1_000


class PrefillAffinity:
    """The first-ranked prefill hosts of each key, and the last host of each session; bounded in number."""

    def __init__(self, hosts: Collection[TrackedEndpoint]) -> None:
        """Starts without sessions; `hosts` is a view of the prefill hosts (see `hosts_changed`)."""
        self._hosts = hosts
        self._rankings: dict[str, list[TrackedEndpoint]] = {}
        self._last_host: dict[str, str] = {}

    def hosts_changed(self) -> None:
        """Discards the rankings; to be called when a prefill host was added or removed."""
        self._rankings.clear()

    def ranking(self, key: str) -> list[TrackedEndpoint]:
        """Returns the first HOSTS_PER_PREFIX prefill hosts for this key, alike at every dispatcher."""
        if key not in self._rankings:
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings = {}
            self._rankings[key] = _first_ranked(key, self._hosts)
        return self._rankings[key]

    def preferred_hosts(self, request: RequestState, now: float) -> list[TrackedEndpoint]:
        """Returns the prefill hosts to which every dispatcher sends this prompt, HOSTS_PER_PREFIX at most.

        The requests of a session arrive at many dispatchers, so the memory of one dispatcher is not enough;
        and a single host would be overloaded by a hot prefix. So a prefix has HOSTS_PER_PREFIX hosts, and the
        session selects the first of them. It could do harm where hosts cache little text.
        """
        params = request.params
        key = _ranking_key(params)
        if request.route is None:
            hosts = self.ranking(key)
        else:
            hosts = _first_ranked(key, (host for host in self._hosts if request.route_allows(host, now)))
        if params.prefix_id is None:
            return hosts
        score = host_scores(f"{params.session}\n{params.prefix_id}")
        return sorted(hosts, key=lambda host: score(host.name))

    def first_of(self, hosts: Iterable[TrackedEndpoint], params: Request) -> TrackedEndpoint:
        """Returns the one of these hosts that is ranked first for the prompt."""
        score = host_scores(_ranking_key(params))
        return min(hosts, key=lambda host: score(host.name))

    def remember(self, session: str, host: str) -> None:
        """Records the host that prefilled the session's latest prompt."""
        self._last_host.pop(session, None)
        self._last_host[session] = host
        if len(self._last_host) > MAX_SESSIONS:
            del self._last_host[next(iter(self._last_host))]

    def last_host(self, session: str | None) -> str | None:
        """Returns the last prefill host that this dispatcher used for the session."""
        return self._last_host.get(session or "")

    def expected_cached_tokens(self, request: RequestState) -> dict[str, float]:
        """Returns how many prompt tokens are likely to be cached, by host; hosts not in it have none.

        All tokens of the prompt at the session's last host and at the host that the session selects, and the
        tokens of the prefix at the hosts of the prefix.
        """
        params = request.params
        expected: dict[str, float] = {}
        if params.prefix_id:
            expected = dict.fromkeys((host.name for host in request.preferred_hosts), params.prefix_tokens)
        if params.session is not None and request.preferred_hosts:
            expected[request.preferred_hosts[0].name] = params.prompt_tokens
        last_host = self.last_host(params.session)
        if last_host is not None:
            expected[last_host] = params.prompt_tokens
        return expected


def _ranking_key(params: Request) -> str:
    return params.session or params.id if params.prefix_id is None else params.prefix_id


def _first_ranked(key: str, hosts: Iterable[TrackedEndpoint]) -> list[TrackedEndpoint]:
    score = host_scores(key)
    return heapq.nsmallest(HOSTS_PER_PREFIX, hosts, key=lambda host: score(host.name))
