"""A send queue that batches messages into datagrams and limits the rate of datagrams."""

from __future__ import annotations

from math import inf

from violetstack.lease.messages import MAX_MESSAGES, Message, MessageType, encode
from violetstack.shared.rate_limit import TokenBucket

ALL_PEERS = -1  # as a receiver: every other dispatcher of the tier
BATCHING_DELAY_MS = 10.0  # how long a message waits for others to the same receiver
NEW_LEASE_CAPACITY_DIVISOR = 3.0  # new leases may use a third of the capacity; renewals and answers the rest
BURST_S = 0.5  # of datagrams at the full rate


class Outbox:
    """The queued messages to each receiver.

    A newer message replaces a queued one about the same lease, so the rate limit delays messages but no
    outdated ones are sent.

    Attributes:
        datagrams_sent: The number of datagrams returned by `flush` so far.
        bytes_sent: Their total size.
    """

    def __init__(self, number: int, keys: tuple[bytes, ...], datagrams_per_s: float) -> None:
        """Creates an empty queue.

        Args:
            number: The number of this dispatcher.
            keys: If not empty, the first key authenticates the datagrams.
            datagrams_per_s: The highest rate of datagrams.
        """
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
        """Queues a message to a dispatcher, or to ALL_PEERS."""
        waiting = self._waiting.setdefault(receiver, {})
        # The latest message about a lease supersedes earlier ones; answers to two proposers are both sent.
        key = (message.type, message.lease_id, message.ballot.node_id)
        waiting.pop(key, None)
        waiting[key] = message

    def put_broadcast(self, message: Message, valid_until: float) -> None:
        """Queues a BROADCAST, which is dropped if it was not sent before the holder's lease has expired."""
        self._broadcast_valid_until[message.lease_id] = valid_until
        self.put(ALL_PEERS, message)

    def is_congested(self, now: float) -> bool:
        """Returns whether to postpone new leases, so that renewals and answers are still sent in time."""
        queued = sum(map(len, self._waiting.values()))
        return queued > self._bucket.available(now) * MAX_MESSAGES / NEW_LEASE_CAPACITY_DIVISOR

    def is_ready(self, now: float) -> bool:
        """Returns whether to flush now: BATCHING_DELAY_MS have passed, or a datagram is full."""
        if not self._waiting:
            return False
        if self._batching_since is None:
            self._batching_since = now
        batch_due = now >= self._batching_since + BATCHING_DELAY_MS
        return batch_due or any(len(queue) >= MAX_MESSAGES for queue in self._waiting.values())

    def next_flush_at(self, now: float) -> float:
        """Returns when to flush next; infinity if no message is queued."""
        if not self._waiting:
            return inf
        batch_due_at = now if self._batching_since is None else self._batching_since + BATCHING_DELAY_MS
        return max(batch_due_at, self._bucket.next_token_at(now))

    def flush(self, now: float, highest_token: int) -> list[tuple[int, bytes]]:
        """Returns the datagrams that the rate limit allows now, each with its receiver.

        The receiver whose messages have waited longest is served first, so that none is starved.
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
        """Returns False for a broadcast whose lease has expired, as after a pause of the process."""
        if message.type is not MessageType.BROADCAST:
            return True
        return now < self._broadcast_valid_until.pop(message.lease_id, 0.0)
