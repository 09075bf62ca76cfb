"""What a decision costs at 10, 60 and 200 hosts, as ratios; against another revision if named.

    python -m benchmarks.fleet_cost [--against REV]

The other revision is unpacked into a folder of its own and measured with this file, in turns with this one.
"""

from __future__ import annotations

import argparse
import json
import os
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

HOSTS = (10, 60, 100, 200)
ROUNDS = 3
REQUESTS = 400
TURNS = 3


def decision_us(hosts: int) -> float:
    """CPU of the module for a served request, from its arrival to its end; the best of some rounds."""

    from tests.router_harness import SETTINGS, RouterHarness, make_endpoint  # noqa: PLC0415
    from violetstack.policy_api import AttemptStatus, TimerFired  # noqa: PLC0415

    telling = hasattr(SETTINGS, "may_tell")
    more: dict[str, Any] = {"may_tell": True} if telling else {}
    best = float("inf")
    for _ in range(ROUNDS):
        entries = [make_endpoint(f"s{n}", n % 2, cell=n // 5) for n in range(hosts)]
        harness = RouterHarness(*entries, load_report_fields=("inflight", "x0"), dispatcher_count=40, **more)
        began = time.process_time()
        for n in range(REQUESTS):
            request = harness.submit(
                after=700.0, prefix_id=f"p{n % 30}", prefix_tokens=1000.0, session=f"s{n % 90}"
            )
            harness.finish_attempt(request, AttemptStatus.PREFILLED, load_report=(3.0, 0.4))
            harness.start_stream(request)
            harness.finish_attempt(request, AttemptStatus.OK, after=200.0, load_report=(3.0, 0.4))
            harness.handle(TimerFired("tell"), after=1_100.0)
        best = min(best, (time.process_time() - began) / REQUESTS * 1e6)
    return best


def datagrams_us() -> dict[str, float]:
    """CPU of the module for one datagram at 100 hosts and 200 fronts: heard, with three entries, and told."""
    from tests.router_harness import RouterHarness, make_endpoint  # noqa: PLC0415
    from violetstack.gossip.codec import encode_datagram, endpoint_tag  # noqa: PLC0415
    from violetstack.policy_api import GossipReceived, TimerFired  # noqa: PLC0415

    entries = [make_endpoint(f"s{n}", n % 2, cell=n // 5) for n in range(100)]
    heard = told = float("inf")
    for _ in range(ROUNDS):
        harness = RouterHarness(*entries, dispatcher_count=200, gossip_allowed=True)
        rows = [
            encode_datagram([(endpoint_tag(f"s{(n * k) % 100}"), 40 + (n + k) % 90) for k in (1, 7, 31)])
            for n in range(REQUESTS)
        ]
        began = time.process_time()
        for n, row in enumerate(rows):
            harness.handle(GossipReceived(1 + n % 199, row), after=1.0)
        heard = min(heard, (time.process_time() - began) / REQUESTS * 1e6)
        spent = 0.0
        for _ in range(REQUESTS):
            harness.submit(after=30.0, expires_in_ms=60.0)
            began = time.process_time()
            harness.handle(TimerFired("tell"), after=25.0)
            spent += time.process_time() - began
            harness.handle(TimerFired(f"d:q{harness.request_count}"), after=20.0)
        told = min(told, spent / REQUESTS * 1e6)
    return {"heard": heard, "told": told}


def measured(root: Path) -> dict[str, float]:
    """In processes of their own, so that each revision loads its own modules."""
    told = subprocess.run(
        [sys.executable, __file__, "--here"],
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(root)},
        check=True,
        capture_output=True,
        text=True,
    )
    figures: dict[str, float] = json.loads(told.stdout)
    return figures


def best_of(root: Path, so_far: dict[str, float]) -> dict[str, float]:
    return {key: min(value, so_far.get(key, value)) for key, value in measured(root).items()}


def show(name: str, figures: dict[str, float]) -> None:
    least = figures[str(HOSTS[0])]
    row = ", ".join(f"{n} hosts {figures[str(n)]:.0f} us ({figures[str(n)] / least:.2f})" for n in HOSTS)
    print(f"{name}: {row}")
    print(f"  a datagram at 100 hosts: {figures['heard']:.0f} us heard, {figures['told']:.0f} us told")


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument("--against", metavar="REV", help="another revision, measured in turns with this one")
    parser.add_argument("--here", action="store_true", help=argparse.SUPPRESS)
    told = parser.parse_args()
    if told.here:
        print(json.dumps({**{str(n): decision_us(n) for n in HOSTS}, **datagrams_us()}))
        return
    root = Path(__file__).resolve().parent.parent
    now = dict[str, float]()
    then = dict[str, float]()
    with tempfile.TemporaryDirectory() as folder:
        other = Path(folder)
        if told.against:
            pack = ["git", "archive", told.against]
            archive = subprocess.run(pack, cwd=root, check=True, capture_output=True)
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        for _ in range(TURNS):
            now = best_of(root, now)
            if told.against:
                then = best_of(other, then)
    show("this one", now)
    if told.against:
        show(told.against, then)
        print(", ".join(f"{key}: {now[key] / then[key]:.2f}" for key in now) + f" times {told.against}")


if __name__ == "__main__":
    main()
