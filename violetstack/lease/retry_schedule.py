"""When a proposer acts next: retries with jitter and exponential backoff, the order of standbys, renewals."""

from __future__ import annotations

import random

ATTEMPT_TIMEOUT_MS = 300.0  # for the answers of a majority
RESEND_INTERVAL_MS = 70.0  # to acceptors that may not have received the message
BASE_BACKOFF_MS = 100.0
MAX_BACKOFF_MS = 2_000.0
MAX_DOUBLINGS = 10
STANDBY_INTERVAL_MS = 60.0  # between the attempts of two standbys of a group: two round trips
STANDBYS_PER_GROUP = 2  # the first group checks once per lease duration, each further one half as often
RENEWAL_SHARE = 1 / 3  # of the lease duration: two renewals may be lost
RENEWAL_GRID_SHARE = 1 / 20  # of the lease duration
MIN_JITTER = 0.2
GRID_OFFSETS = 97  # prime, so that the offsets of neighbouring node ids differ


class RetrySchedule:
    """The delays of one proposer, in milliseconds.

    `rank` is how many dispatchers precede this one in the lease's preference order. The higher the rank, the
    less often a standby checks the lease: all dispatchers together, however many they are, check it four
    times per lease duration, and if the first two are gone the next one follows a lease duration later.
    """

    def __init__(self, node_id: int, lease_ms: float, rank: int, rng: random.Random) -> None:
        """Creates the schedule of a proposer.

        Args:
            node_id: The id of this process, see `messages.node_id_of`.
            lease_ms: The duration of the lease.
            rank: How many dispatchers precede this one in the lease's preference order.
            rng: The random source of the jitter.
        """
        self._lease_ms = lease_ms
        self._rng = rng
        self._rank = rank
        self._grid_ms = lease_ms * RENEWAL_GRID_SHARE
        self._grid_offset_ms = (node_id % GRID_OFFSETS) / GRID_OFFSETS * lease_ms * RENEWAL_GRID_SHARE
        self._failures = 0

    def first_attempt_ms(self) -> float:
        """Returns the delay before the first attempt."""
        return self._standby_ms() + self._rng.random() * BASE_BACKOFF_MS

    def backoff_ms(self) -> float:
        """Returns the delay after the lease was lost."""
        return self._jittered(BASE_BACKOFF_MS)

    def after_failure_ms(self) -> float:
        """Returns the delay after a failed attempt.

        The range of the delay doubles with each failure, so that two competing proposers do not collide
        forever.
        """
        doublings = min(self._failures, MAX_DOUBLINGS)
        return self._jittered(min(MAX_BACKOFF_MS, BASE_BACKOFF_MS * 2.0**doublings))

    def after_failed_renewal_ms(self) -> float:
        """Returns the delay after a failed renewal; it is short, because the holder competes with no one."""
        return self._jittered(RESEND_INTERVAL_MS)

    def after_expiry_ms(self) -> float:
        """Returns the delay after the end of another holder's lease."""
        return self._jittered(BASE_BACKOFF_MS) + self._standby_ms()

    def after_release_ms(self) -> float:
        """Returns the delay after another holder has released the lease."""
        return self._jittered(BASE_BACKOFF_MS) + self._rank % STANDBYS_PER_GROUP * STANDBY_INTERVAL_MS

    def renewal_at(self, now: float) -> float:
        """Returns when to renew a lease that was acquired or renewed now.

        Jitter keeps the nodes of a tier from renewing at the same moments. The time is rounded down to this
        node's own grid, so that the renewals of its leases share datagrams.
        """
        renewal_at = now + self._lease_ms * RENEWAL_SHARE * (0.8 + 0.2 * self._rng.random())
        return renewal_at - (renewal_at - self._grid_offset_ms) % self._grid_ms

    def record_failure(self) -> None:
        """Counts a failed attempt."""
        self._failures += 1

    def reset_failures(self) -> None:
        """Resets the count of failed attempts, once the lease has a holder."""
        self._failures = 0

    def _standby_ms(self) -> float:
        group = min(MAX_DOUBLINGS, self._rank // STANDBYS_PER_GROUP)
        return self._rank % STANDBYS_PER_GROUP * STANDBY_INTERVAL_MS + (2.0**group - 1.0) * self._lease_ms

    def _jittered(self, max_ms: float) -> float:
        return max_ms * (MIN_JITTER + (1.0 - MIN_JITTER) * self._rng.random())
