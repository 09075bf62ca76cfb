"""Affinity of prompts to the prefill hosts that are likely to have them cached.

Hosts are ranked by rendezvous hashing of the prompt's shared prefix, or of its session, so that all
dispatchers agree without communication. In addition, each dispatcher remembers the last prefill host of its
sessions.
"""

from __future__ import annotations

from collections.abc import Collection

from violetstack.policy_api import Request
from violetstack.rendezvous import host_score
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState

HOSTS_PER_PREFIX = 3  # the sessions of one shared prefix are spread over this many hosts
MAX_SESSIONS = 4_000
MAX_RANKINGS = 1_000


class PrefillAffinity:
    """Rankings of the prefill hosts, and the last host of each session; both are bounded in number."""

    def __init__(self, hosts: Collection[TrackedEndpoint]) -> None:
        """Starts without sessions; `hosts` is a view of the prefill hosts (see `hosts_changed`)."""
        self._hosts = hosts
        self._rankings: dict[str, list[TrackedEndpoint]] = {}
        self._last_host: dict[str, str] = {}

    def hosts_changed(self) -> None:
        """Discards the rankings; to be called when a prefill host was added or removed."""
        self._rankings.clear()

    def ranking(self, key: str) -> list[TrackedEndpoint]:
        """Returns the prefill hosts ranked by their scores for this key, alike at every dispatcher."""
        if key not in self._rankings:
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings = {}
            self._rankings[key] = sorted(self._hosts, key=lambda host: host_score(key, host.name))
        return self._rankings[key]

    def preferred_hosts(self, request: Request) -> list[TrackedEndpoint]:
        """Returns all prefill hosts, first those to which every dispatcher sends this prompt.

        The requests of a session arrive at many dispatchers, so the memory of one dispatcher is not enough;
        and a single host would be overloaded by a hot prefix. So a prefix has HOSTS_PER_PREFIX hosts, and the
        session selects the first of them. It could do harm where hosts cache little text.
        """
        if request.prefix_id is None:
            return self.ranking(request.session or request.id)
        ranking = self.ranking(request.prefix_id)
        session_key = f"{request.session}\n{request.prefix_id}"
        first = sorted(ranking[:HOSTS_PER_PREFIX], key=lambda host: host_score(session_key, host.name))
        return first + ranking[HOSTS_PER_PREFIX:]

    def remember(self, session: str, host: str) -> None:
        """Records the host that prefilled the session's latest prompt."""
        self._last_host.pop(session, None)
        self._last_host[session] = host
        if len(self._last_host) > MAX_SESSIONS:
            del self._last_host[next(iter(self._last_host))]

    def last_host(self, session: str | None) -> str | None:
        """Returns the last prefill host that this dispatcher used for the session."""
        return self._last_host.get(session or "")

    def expected_cached_tokens(self, endpoint: TrackedEndpoint, request: RequestState) -> float:
        """Returns how many prompt tokens are likely to be cached there, by rank and last host."""
        params = request.params
        if endpoint.name == self._last_host.get(params.session or ""):
            return params.prompt_tokens
        preferred = request.preferred_hosts
        if params.session is not None and preferred and preferred[0] is endpoint:
            return params.prompt_tokens
        return params.prefix_tokens if params.prefix_id and endpoint in preferred[:HOSTS_PER_PREFIX] else 0.0
