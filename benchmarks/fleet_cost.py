"""CPU time of a routing decision for 10 to 200 hosts, with the ratios between them.

    python -m benchmarks.fleet_cost [--against REV]

With --against, another revision is unpacked into a temporary directory and measured with this file,
alternating with this revision.
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
REPETITIONS = 3


def decision_us(hosts: int) -> float:
    """Return the policy's CPU time for a served request, from arrival to end; the best of `ROUNDS`."""

    from tests.router_harness import SETTINGS, RouterHarness, make_endpoint  # noqa: PLC0415
    from violetstack.policy_api import AttemptStatus, TimerFired  # noqa: PLC0415

    has_setting = hasattr(SETTINGS, "may_tell")
    extra_settings: dict[str, Any] = {"may_tell": True} if has_setting else {}
    best = float("inf")
    for _ in range(ROUNDS):
        entries = [make_endpoint(f"s{n}", n % 2, cell=n // 5) for n in range(hosts)]
        harness = RouterHarness(
            *entries, load_report_fields=("inflight", "x0"), dispatcher_count=40, **extra_settings
        )
        started = time.process_time()
        for n in range(REQUESTS):
            request = harness.submit(
                after=700.0, prefix_id=f"p{n % 30}", prefix_tokens=1000.0, session=f"s{n % 90}"
            )
            harness.finish_attempt(request, AttemptStatus.PREFILLED, load_report=(3.0, 0.4))
            harness.start_stream(request)
            harness.finish_attempt(request, AttemptStatus.OK, after=200.0, load_report=(3.0, 0.4))
            harness.handle(TimerFired("tell"), after=1_100.0)
        best = min(best, (time.process_time() - started) / REQUESTS * 1e6)
    return best


def datagrams_us() -> dict[str, float]:
    """Return the policy's CPU time for one gossip datagram, with 100 hosts and 200 dispatchers.

    A received datagram has three entries.
    """
    from tests.router_harness import RouterHarness, make_endpoint  # noqa: PLC0415
    from violetstack.gossip.codec import encode_datagram, endpoint_tag  # noqa: PLC0415
    from violetstack.policy_api import GossipReceived, TimerFired  # noqa: PLC0415

    entries = [make_endpoint(f"s{n}", n % 2, cell=n // 5) for n in range(100)]
    received_us = sent_us = float("inf")
    for _ in range(ROUNDS):
        harness = RouterHarness(*entries, dispatcher_count=200, gossip_allowed=True)
        datagrams = [
            encode_datagram([(endpoint_tag(f"s{(n * k) % 100}"), 40 + (n + k) % 90) for k in (1, 7, 31)])
            for n in range(REQUESTS)
        ]
        started = time.process_time()
        for n, datagram in enumerate(datagrams):
            harness.handle(GossipReceived(1 + n % 199, datagram), after=1.0)
        received_us = min(received_us, (time.process_time() - started) / REQUESTS * 1e6)
        spent = 0.0
        for _ in range(REQUESTS):
            harness.submit(after=30.0, expires_in_ms=60.0)
            started = time.process_time()
            harness.handle(TimerFired("tell"), after=25.0)
            spent += time.process_time() - started
            harness.handle(TimerFired(f"d:q{harness.request_count}"), after=20.0)
        sent_us = min(sent_us, spent / REQUESTS * 1e6)
    return {"received": received_us, "sent": sent_us}


def measure(root: Path) -> dict[str, float]:
    """Measure the revision at `root` in a process of its own, so that it loads its own modules."""
    process = subprocess.run(
        [sys.executable, __file__, "--here"],
        cwd=root,
        env={**os.environ, "PYTHONPATH": str(root)},
        check=True,
        capture_output=True,
        text=True,
    )
    figures: dict[str, float] = json.loads(process.stdout)
    return figures


def best_of(root: Path, previous: dict[str, float]) -> dict[str, float]:
    return {key: min(value, previous.get(key, value)) for key, value in measure(root).items()}


def show(name: str, figures: dict[str, float]) -> None:
    smallest = figures[str(HOSTS[0])]
    row = ", ".join(f"{n} hosts {figures[str(n)]:.0f} us ({figures[str(n)] / smallest:.2f})" for n in HOSTS)
    print(f"{name}: {row}")
    print(f"  a datagram at 100 hosts: {figures['received']:.0f} us received, {figures['sent']:.0f} us sent")


def main() -> None:
    parser = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    parser.add_argument(
        "--against", metavar="REV", help="another revision, measured alternating with this one"
    )
    parser.add_argument("--here", action="store_true", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.here:
        print(json.dumps({**{str(n): decision_us(n) for n in HOSTS}, **datagrams_us()}))
        return
    root = Path(__file__).resolve().parent.parent
    figures = dict[str, float]()
    other_figures = dict[str, float]()
    with tempfile.TemporaryDirectory() as folder:
        other_root = Path(folder)
        if arguments.against:
            command = ["git", "archive", arguments.against]
            archive = subprocess.run(command, cwd=root, check=True, capture_output=True)
            subprocess.run(["tar", "-x", "-C", folder], input=archive.stdout, check=True)
        for _ in range(REPETITIONS):
            figures = best_of(root, figures)
            if arguments.against:
                other_figures = best_of(other_root, other_figures)
    show("this one", figures)
    if arguments.against:
        show(arguments.against, other_figures)
        print(
            ", ".join(f"{key}: {figures[key] / other_figures[key]:.2f}" for key in figures)
            + f" times {arguments.against}"
        )


if __name__ == "__main__":
    main()
