"""Which prefill hosts are likely to have a prompt cached.

The hosts are ranked by rendezvous hashing of the prompt's shared prefix, or of its session, so that all
dispatchers agree without talking; beside that each remembers the last prefill host of its sessions.
"""

from __future__ import annotations

from violetstack.policy_api import Request
from violetstack.rendezvous import host_score
from violetstack.tracking.endpoint import TrackedEndpoint
from violetstack.tracking.request import RequestState

PREFIX_HOSTS = 3  # hosts over which the sessions of one shared prefix are spread
MAX_SESSIONS = 4_000
MAX_RANKINGS = 1_000


class PrefillAffinity:
    """Rankings of the prefill hosts, and the last host of each session; both bounded in number."""

    def __init__(self) -> None:
        """No hosts and no sessions are known."""
        self._hosts: list[TrackedEndpoint] = []
        self._rankings: dict[str, list[TrackedEndpoint]] = {}
        self._last_host: dict[str, str] = {}

    def set_hosts(self, hosts: list[TrackedEndpoint]) -> None:
        """Rank these from now on."""
        self._hosts = hosts
        self._rankings = {}

    def ranking(self, key: str) -> list[TrackedEndpoint]:
        """The prefill hosts in the order of a hash with this key, the same at every dispatcher."""
        if key not in self._rankings:
            if len(self._rankings) > MAX_RANKINGS:
                self._rankings = {}
            self._rankings[key] = sorted(self._hosts, key=lambda host: host_score(key, host.name))
        return self._rankings[key]

    def preferred_hosts(self, request: Request) -> list[TrackedEndpoint]:
        """All prefill hosts, those first where every dispatcher sends this prompt.

        A session comes to many dispatchers, so what one of them remembers of it is not enough; and one host
        for each prefix is too few where the prefix is hot. So a prefix has a few hosts, and the session says
        which of these comes first. Could harm where hosts cache little text.
        """
        if request.prefix_id is None:
            return self.ranking(request.session or request.id)
        ranking = self.ranking(request.prefix_id)
        session_key = f"{request.session}\n{request.prefix_id}"
        first = sorted(ranking[:PREFIX_HOSTS], key=lambda host: host_score(session_key, host.name))
        return first + ranking[PREFIX_HOSTS:]

    def remember(self, session: str, host: str) -> None:
        """The session's prompt was processed at this host."""
        self._last_host.pop(session, None)
        self._last_host[session] = host
        if len(self._last_host) > MAX_SESSIONS:
            del self._last_host[next(iter(self._last_host))]

    def last_host(self, session: str | None) -> str | None:
        """The session's last prefill host at this dispatcher."""
        return self._last_host.get(session or "")

    def expected_cached_tokens(self, endpoint: TrackedEndpoint, request: RequestState) -> float:
        """Prompt tokens that the endpoint is likely to have cached, by its rank and the session's past."""
        params = request.params
        if endpoint.name == self._last_host.get(params.session or ""):
            return params.prompt_tokens
        preferred = request.preferred_hosts
        if params.session is not None and preferred and preferred[0] is endpoint:
            return params.prompt_tokens
        return params.prefix_tokens if params.prefix_id and endpoint in preferred[:PREFIX_HOSTS] else 0.0
