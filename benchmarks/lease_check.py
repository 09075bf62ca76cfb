"""Every order of events of a duty's electors and candidates, up to bounds; and the planted faults it finds.

    python -m benchmarks.lease_check [--states N]

For each bound (tries of the candidates, steps of time, restarts of electors): states, seconds, whether that
was all of them. Then for each planted fault the states until it was found, and the shortest way to it.
"""

from __future__ import annotations

import argparse
import time

from violetstack.simulation.exhaustive import Bounds, Explorer
from violetstack.simulation.faults import PLANTED, planted

BOUNDS = (
    Bounds((1, 1), 1, 0),
    Bounds((2, 1), 1, 0),
    Bounds((1, 1), 2, 0),
    Bounds((1, 1), 1, 1),
    Bounds((2, 1), 2, 0),
    Bounds((1, 1), 3, 0),
    Bounds((2, 1), 3, 1),
)
FAULTS = {  # where each is to be looked for; "a promise is forgotten" is a matter of times left out here
    "no silence after a restart": Bounds((1, 1), 1, 1),
    "no margin for the clocks": Bounds((1, 1), 2, 0),
    "an elector's time is too short": Bounds((1, 1), 2, 0),
    "a number is used again": Bounds((1, 1), 3, 0),
    "a majority is one too few": Bounds((1, 1), 1, 0),
    "two have the same ballots": Bounds((1, 1), 1, 0),
    "it holds past its time": Bounds((1, 1), 3, 0),
    "an old ballot is accepted": Bounds((1, 1), 1, 0),
}


def main() -> None:
    asked = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    asked.add_argument("--states", type=int, default=300_000, help="of one bound at most")
    given = asked.parse_args()
    for fault, bounds in FAULTS.items():
        began = time.monotonic()
        with planted(fault):
            found = Explorer(bounds).explore(given.states)
        took = time.monotonic() - began
        print(
            f"{fault}: {found.breach or 'NOT FOUND'} after {found.states} states, {took:.1f} s, "
            f"{len(found.trace)} steps: {'; '.join(found.trace)}",
            flush=True,
        )
    print(f"not looked for: {', '.join(set(PLANTED) - set(FAULTS))}", flush=True)
    for bounds in BOUNDS:
        began = time.monotonic()
        found = Explorer(bounds).explore(given.states)
        took = time.monotonic() - began
        whole = "all" if found.whole else "the nearest"
        print(
            f"tries {bounds.starts}, {bounds.times} times, {bounds.restarts} restarts: {found.states} "
            f"states ({whole}) in {took:.0f} s; {found.breach or 'no breach'} {found.trace or ''}",
            flush=True,
        )


if __name__ == "__main__":
    main()
