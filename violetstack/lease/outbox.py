"""Messages that wait to be sent, gathered into datagrams whose rate is bounded."""

from __future__ import annotations

from math import inf

from violetstack.lease.messages import MAX_MESSAGES, Message, MessageType, encode
from violetstack.shared.rate_limit import TokenBucket

ALL_PEERS = -1  # as a receiver: every other dispatcher of the tier
BATCHING_DELAY_MS = 10.0  # messages wait for others to the same receiver
NEW_LEASE_CAPACITY_DIVISOR = 3.0  # new leases use a third of the capacity; renewals and answers the rest
BURST_S = 0.5  # of datagrams


class Outbox:
    """The messages to each receiver. A newer message replaces one about the same lease that still waits.

    The rate limit therefore delays messages and never sends outdated ones.

    Attributes:
        datagrams_sent: How many datagrams were handed out.
        bytes_sent: Their size.
    """

    def __init__(self, number: int, keys: tuple[bytes, ...], datagrams_per_s: float) -> None:
        """Send as dispatcher `number`, authenticated by the first of `keys` if there is one."""
        self.datagrams_sent = 0
        self.bytes_sent = 0
        self._number = number
        self._key = keys[0] if keys else b""
        burst = max(1.0, datagrams_per_s * BURST_S)
        self._bucket = TokenBucket(datagrams_per_s / 1000.0, burst, burst)
        self._waiting: dict[int, dict[tuple[MessageType, int, int], Message]] = {}
        self._broadcast_valid_until: dict[int, float] = {}
        self._batching_since: float | None = None

    def put(self, receiver: int, message: Message) -> None:
        """Queue a message to a dispatcher, or to EVERYONE."""
        waiting = self._waiting.setdefault(receiver, {})
        # The latest message about a lease is the right one, but answers to two proposers are two messages.
        key = (message.type, message.lease_id, message.ballot.node_id)
        waiting.pop(key, None)
        waiting[key] = message

    def put_broadcast(self, message: Message, valid_until: float) -> None:
        """Queue a BROADCAST that is dropped if it has not left before the holder's lease is over."""
        self._broadcast_valid_until[message.lease_id] = valid_until
        self.put(ALL_PEERS, message)

    def is_congested(self, now: float) -> bool:
        """Return whether new leases should wait, so that renewals and answers still get through."""
        queued = sum(map(len, self._waiting.values()))
        return queued > self._bucket.available(now) * MAX_MESSAGES / NEW_LEASE_CAPACITY_DIVISOR

    def is_ready(self, now: float) -> bool:
        """Return whether to flush now: messages have gathered for long enough, or fill a datagram."""
        if not self._waiting:
            return False
        if self._batching_since is None:
            self._batching_since = now
        batch_due = now >= self._batching_since + BATCHING_DELAY_MS
        return batch_due or any(len(queue) >= MAX_MESSAGES for queue in self._waiting.values())

    def next_flush_at(self, now: float) -> float:
        """Return when to flush next; infinity if nothing waits."""
        if not self._waiting:
            return inf
        batch_due_at = now if self._batching_since is None else self._batching_since + BATCHING_DELAY_MS
        return max(batch_due_at, self._bucket.next_token_at(now))

    def flush(self, now: float, highest_token: int) -> list[tuple[int, bytes]]:
        """Return the datagrams that may be sent now, each with its receiver.

        The receiver that has waited longest goes first, so that the rate limit starves none.
        """
        datagrams = []
        while self._waiting and self._bucket.try_take(now):
            receiver, waiting = next(iter(self._waiting.items()))
            del self._waiting[receiver]
            taken = [waiting.pop(key) for key in list(waiting)[:MAX_MESSAGES]]
            messages = [message for message in taken if self._is_valid(now, message)]
            if waiting:
                self._waiting[receiver] = waiting
            if messages:
                data = encode(messages, highest_token, self._number, self._key)
                datagrams.append((receiver, data))
                self.datagrams_sent += 1
                self.bytes_sent += len(data)
        self._batching_since = None if not self._waiting else now
        return datagrams

    def _is_valid(self, now: float, message: Message) -> bool:
        """Check a broadcast's lease once more: the process may have been paused since it was queued."""
        if message.type is not MessageType.BROADCAST:
            return True
        return now < self._broadcast_valid_until.pop(message.lease_id, 0.0)
