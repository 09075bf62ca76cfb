"""Which dispatchers are acceptors, and how many of them are a majority."""

from __future__ import annotations

MIN_LARGE_FLEET = 50
ACCEPTORS_OF_MEDIUM_FLEET = 5  # two may fail
ACCEPTORS_OF_LARGE_FLEET = 7  # three may fail
MAX_FLEET_OF_ACCEPTORS = 4


def acceptor_numbers(fleet_size: int) -> tuple[int, ...]:
    """Return the numbers of the dispatchers that are acceptors, spread evenly over the fleet.

    All of a fleet of up to four are acceptors, five of a larger one, and seven of fifty and more.
    """
    if fleet_size <= MAX_FLEET_OF_ACCEPTORS:
        count = fleet_size
    elif fleet_size < MIN_LARGE_FLEET:
        count = ACCEPTORS_OF_MEDIUM_FLEET
    else:
        count = ACCEPTORS_OF_LARGE_FLEET
    return tuple(n * fleet_size // count for n in range(count))


def majority(acceptors: int) -> int:
    """Return the smallest number of acceptors that is more than half of them."""
    return acceptors // 2 + 1
