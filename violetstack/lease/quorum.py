"""The choice of acceptors among the dispatchers, and the size of a majority."""

from __future__ import annotations

MIN_LARGE_FLEET = 50
ACCEPTORS_OF_MEDIUM_FLEET = 5  # two may fail
ACCEPTORS_OF_LARGE_FLEET = 7  # three may fail
MAX_FLEET_OF_ACCEPTORS = 4


def acceptor_numbers(fleet_size: int) -> tuple[int, ...]:
    """Returns the numbers of the dispatchers that are acceptors, spread evenly over the fleet.

    In a fleet of up to 4 dispatchers all are acceptors, from 5 to 49 dispatchers 5 are, and from 50 on 7 are.
    """
    if fleet_size <= MAX_FLEET_OF_ACCEPTORS:
        count = fleet_size
    elif fleet_size < MIN_LARGE_FLEET:
        count = ACCEPTORS_OF_MEDIUM_FLEET
    else:
        count = ACCEPTORS_OF_LARGE_FLEET
    return tuple(n * fleet_size // count for n in range(count))


def majority(acceptors: int) -> int:
    """Returns the smallest number of acceptors that is more than half of them."""
    return acceptors // 2 + 1
