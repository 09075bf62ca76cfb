"""One dispatcher at a time tries a host that fails; what it finds, all hear.

A dispatcher whose module has evidence against a host (failures in a row, its own or told) asks for the duty
to try it. The holder tells all, again and again; whoever has such evidence keeps away for as long as that
counts. The first answer that goes well ends the trial for all. A holder that falls silent is followed by
another, and so is one that has had no work to try it with. Who hears nothing does as without duties.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from violetstack.lease.messages import duty_of
from violetstack.lease.node import Effect, Member
from violetstack.policy_api import OutlierCheckResult

SAY_SHARE = 1 / 3  # of the lease: two words may be lost
PATIENCE_MS = 9_000.0  # without an outcome: three times what a failure's price takes to fade
TRYING = 0
WELL = 1


class Suspect:
    def __init__(self, now: float) -> None:
        self.last_at = now
        self.say_at = now
        self.mine = False


class Trials:
    """`suspected`: has the module evidence against the host? `decided`: what follows for its choice."""

    def __init__(
        self, member: Member, suspected: Callable[[str], bool], decided: Callable[[OutlierCheckResult], None]
    ) -> None:
        self._member = member
        self._suspected = suspected
        self._decided = decided
        self._hosts: dict[int, str] = {}
        self.suspects: dict[str, Suspect] = {}

    def endpoints_listed(self, now: float, hosts: Iterable[str]) -> None:
        """Guards the memory as well: of hosts that are gone nothing is kept."""
        self._hosts = {duty_of(name_of(host)): host for host in hosts}
        there = set(self._hosts.values())
        for host in [host for host in self.suspects if host not in there]:
            self._clear(now, host)

    def attempt_observed(self, now: float, host: str, well: bool) -> None:
        """An attempt of this dispatcher's went well at a host, or the host failed it."""
        if (suspect := self.suspects.get(host)) is None:
            return
        suspect.last_at = now
        if well:
            if self._member.effect(now, name_of(host), WELL):
                self._member.log("host_tried", server=host, well=True)
            self._clear(now, host)

    def heard(self, now: float, effect: Effect) -> None:
        host = self._hosts.get(effect.duty)
        if host is None:
            return
        if effect.value == WELL:
            self._clear(now, host)
            self._decided(OutlierCheckResult(host, 0.0, True))
        elif effect.value == TRYING:
            self._decided(OutlierCheckResult(host, self._member.length_ms, False))

    def tick(self, now: float) -> float:
        """Looks for new suspects, says again what is tried here; returns when to be called next."""
        for host in self._hosts.values():
            if host not in self.suspects and self._suspected(host):
                self.suspects[host] = Suspect(now)
                self._member.want(name_of(host))
        for host, suspect in list(self.suspects.items()):
            name = name_of(host)
            mine = self._member.holds(now, name)
            if mine and not suspect.mine:
                suspect.last_at = suspect.say_at = now
                self._member.log("host_tried", server=host, well=None)
                self._decided(OutlierCheckResult(host, 0.0, False))
            suspect.mine = mine
            if not self._suspected(host):
                self._clear(now, host)
            elif mine and now >= suspect.last_at + PATIENCE_MS:
                self._member.give_up(now, name)
            elif mine and now >= suspect.say_at:
                self._member.effect(now, name, TRYING)
                suspect.say_at = now + SAY_SHARE * self._member.length_ms
        return now + SAY_SHARE * self._member.length_ms

    def _clear(self, now: float, host: str) -> None:
        if self.suspects.pop(host, None) is not None:
            self._member.drop(now, name_of(host))


def name_of(host: str) -> str:
    return f"try:{host}"
