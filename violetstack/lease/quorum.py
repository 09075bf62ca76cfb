"""Which dispatchers are acceptors, and how many of them are a majority."""

from __future__ import annotations

LARGE_FLEET = 50
MAX_ACCEPTORS_SMALL_FLEET = 5  # two may fail
MAX_ACCEPTORS_LARGE_FLEET = 7  # three may fail
ALL_ACCEPT_UP_TO = 4


def acceptor_numbers(fleet_size: int) -> tuple[int, ...]:
    """Return the numbers of the dispatchers that are acceptors, spread evenly over the fleet.

    All of a fleet of up to four are acceptors, five of a larger one, and seven of fifty and more.
    """
    if fleet_size <= ALL_ACCEPT_UP_TO:
        count = fleet_size
    elif fleet_size < LARGE_FLEET:
        count = MAX_ACCEPTORS_SMALL_FLEET
    else:
        count = MAX_ACCEPTORS_LARGE_FLEET
    return tuple(n * fleet_size // count for n in range(count))


def majority(acceptors: int) -> int:
    """Return the smallest number of acceptors that is more than half of them."""
    return acceptors // 2 + 1
