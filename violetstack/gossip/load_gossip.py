"""Datagrams of absolute amounts: whichever arrives last is right, so a lost one heals with the next.

A datagram is a row of entries of three bytes: two of the host's tag (a hash of its id) and a code. 0 to 254
is how much of its own work the sender has out at that host, on a scale of sixteenths of a doubling; 255 says
that an attempt failed there. A single zero byte says that the sender is new and has nothing out anywhere.
"""

from __future__ import annotations

from collections import deque
from hashlib import blake2b
from math import exp2, log2

MAX_DATAGRAM = 256
ENTRY = 3
MOST_TOLD = MAX_DATAGRAM // ENTRY
FAILED = 255
UNTOLD = -1  # no code: tell it, whatever it is
ANEW = b"\0"
BLAMED_MS = 12_000.0  # within it, whoever says that half of the hosts fail is itself the suspect
LEAST_BLAMED = 3
MOST_WORDS = 256
# the smallest amount that is told, and steps in a doubling
UNIT = 10.0
STEPS = 16.0


class BadDatagram(Exception):
    """Not what a dispatcher of this version sends."""


def tag_of(server: str) -> bytes:
    return blake2b(server.encode(), digest_size=2).digest()


def code_of(amount: float) -> int:
    """Within 2.2% of it, and the whole of what a large host can hold."""
    return min(FAILED - 1, round(STEPS * log2(1.0 + max(0.0, amount) / UNIT)))


def amount_of(code: int) -> float:
    return UNIT * (exp2(code / STEPS) - 1.0)


AMOUNTS = tuple(amount_of(code) for code in range(FAILED))


def datagram(entries: list[tuple[bytes, int]]) -> bytes:
    return b"".join(tag + bytes((code,)) for tag, code in entries[:MOST_TOLD])


class Shared:
    """What the others have out, by host.

    An amount counts until its sender tells another one, starts anew, or is silent about that host for
    `lapse_ms`: guards against the work of a dispatcher that died, which nobody will take back.
    """

    def __init__(self, lapse_ms: float) -> None:
        self._lapse_ms = lapse_ms
        self._told: dict[tuple[bytes, int], tuple[float, float]] = {}  # by host and sender: amount, when
        self._order: deque[tuple[float, bytes, int]] = deque()
        self._sums: dict[bytes, float] = {}
        self._heard: dict[int, float] = {}
        self._words: dict[int, dict[bytes, float]] = {}  # by sender: whom it has said to fail, and when
        self.heard = 0  # how many others spoke of late

    def hear(self, now: float, peer: int, payload: bytes, hosts: int) -> list[bytes]:
        """Takes a datagram; returns the tags of the hosts against which its sender's word counts now.

        `hosts`: how many there are.
        """
        if payload == ANEW:
            self._heard[peer] = now
            for tag, sender in [key for key in self._told if key[1] == peer]:
                self._set(now, tag, sender, 0.0)
            return []
        if not payload or len(payload) % ENTRY:
            raise BadDatagram(f"{len(payload)} bytes are no row of entries")
        self._heard[peer] = now
        failed = []
        for at in range(0, len(payload), ENTRY):
            tag = payload[at : at + 2]
            code = payload[at + 2]
            if code == FAILED:
                failed.append(tag)
            else:
                self._set(now, tag, peer, AMOUNTS[code])
        return failed if failed and not self._suspect(now, peer, failed, hosts) else []

    def _suspect(self, now: float, peer: int, failed: list[bytes], hosts: int) -> bool:
        """Guards against one front whose own link is broken, or that tells nonsense: it fails everywhere."""
        words = {tag: at for tag, at in self._words.get(peer, {}).items() if at > now - BLAMED_MS}
        words.update(dict.fromkeys(failed, now))
        self._words[peer] = dict(list(words.items())[-MOST_WORDS:])
        return len(words) >= max(LEAST_BLAMED, hosts / 2.0)

    def forget(self) -> None:
        """After a gap: what was told before it is old, and what was told in it may be lost in part."""
        self._told = {}
        self._sums = {}
        self._heard = {}
        self._words = {}
        self.heard = 0
        self._order.clear()

    def at(self, tag: bytes) -> float:
        return self._sums.get(tag, 0.0)

    def lapse(self, now: float) -> None:
        """Call before reading: what is too old goes."""
        before = now - self._lapse_ms
        self.heard = sum(1 for at in self._heard.values() if at > before)
        while self._order and self._order[0][0] <= before:
            at, tag, peer = self._order.popleft()
            if self._told.get((tag, peer), (0.0, -1.0))[1] == at:
                self._set(now, tag, peer, 0.0)

    def _set(self, now: float, tag: bytes, peer: int, amount: float) -> None:
        """Guards the memory as well: nothing is kept of a host at which nothing is out."""
        old = self._told.pop((tag, peer), (0.0, 0.0))[0]
        total = self._sums.get(tag, 0.0) - old + amount
        if amount > 0.0:
            self._told[(tag, peer)] = (amount, now)
            self._order.append((now, tag, peer))
        if total > UNIT / STEPS / 2.0:
            self._sums[tag] = total
        else:
            self._sums.pop(tag, None)
