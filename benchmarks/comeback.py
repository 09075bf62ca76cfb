"""Recovery of a fleet of dispatcher processes under the plans in benchmarks/fleet, by revision.

    python -m benchmarks.comeback [--against REV] [--plays N] [PLAN ...]

Plays each plan N times, alternating between the revisions. Prints for each plan the seconds until full
service (minimum, median and maximum over the plays); the median time to the first token, and the most
requests inside one prefill host, before the first fault and in the four seconds after the last; then rejected
requests, cut streams, requests sent to a draining host after the permitted time, and rules violated. Plays in
which the simulated hosts fell behind are left out and counted.
"""

from __future__ import annotations

import argparse
import subprocess
import tempfile
from pathlib import Path
from statistics import median

from violetstack.rehearsal.fleet.plan import Plan, read
from violetstack.rehearsal.fleet.programs import ROOT
from violetstack.rehearsal.fleet.report import Result
from violetstack.rehearsal.fleet.runner import play

PLANS = sorted((Path(__file__).parent / "fleet").glob("*.toml"))
AFTER_S = 4.0


def unpack(revision: str, folder: Path) -> Path:
    """Unpack a revision into `folder`; it uses the virtual environment of this checkout."""
    archive = subprocess.run(["git", "archive", revision], cwd=ROOT, check=True, capture_output=True).stdout
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive, check=True)
    (folder / ".venv").symlink_to(ROOT / ".venv")
    subprocess.run([".venv/bin/python", "-m", "compileall", "-q", "violetstack"], cwd=folder, check=True)
    return folder


def told(plan: Plan, results: list[Result]) -> str:
    if not results:
        return "no valid plays"
    full = sorted(r.recovery_s if r.recovery_s is not None else float("inf") for r in results)
    row: dict[str, list[float]] = {name: [] for name in ("before", "after", "inside0", "inside", "refused")}
    for result in results:
        warm = [x for x in result.lines if plan.warm_up_s / 2 <= x["at"] < plan.first_fault_at]
        late = [x for x in result.lines if plan.faults_end_at <= x["at"] < plan.faults_end_at + AFTER_S]
        row["before"].append(median(x["first_ms"] or 0.0 for x in warm))
        row["after"].append(median(x["first_ms"] or 0.0 for x in late))
        row["inside0"].append(max(x["most_inside"] for x in warm))
        row["inside"].append(max(x["most_inside"] for x in late))
        row["refused"].append(sum(x["refused"] for x in late))
    mean = {name: median(values) for name, values in row.items()}
    cut = [r.outcomes.get("cut", 0) for r in results]
    return (
        f"{len(results)} plays: full service after {full[0]:.1f}, {median(full):.1f}, {full[-1]:.1f} s; "
        f"first token {mean['before']:.0f} -> {mean['after']:.0f} ms; "
        f"inside {mean['inside0']:.0f} -> {mean['inside']:.0f}; "
        f"rejected {mean['refused']:.0f}; cut {min(cut)} to {max(cut)}; "
        f"sent too late in a drain {sum(r.stale_sends for r in results)}; "
        f"rules violated {sum(len(r.violations) for r in results)}; "
        f"ready {median([s for r in results for s in r.ready_s] or [0.0]):.2f} s"
    )


def main() -> None:
    asked = argparse.ArgumentParser(description=(__doc__ or "").splitlines()[0])
    asked.add_argument("--against", metavar="REV")
    asked.add_argument("--plays", type=int, default=5)
    asked.add_argument("plans", nargs="*", type=Path, default=PLANS)
    given = asked.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        trees = {"here": ROOT}
        if given.against:
            trees[given.against] = unpack(given.against, Path(folder))
        for file in given.plans or PLANS:
            plan = read(file.read_text())
            results: dict[str, list[Result]] = {name: [] for name in trees}
            void = 0
            for n in range(given.plays):
                plan.seed = 1 + n
                for name, tree in trees.items():
                    result = play(plan, tree)
                    void += result.void
                    results[name] += [] if result.void else [result]
            for name, rows in results.items():
                print(f"{file.stem}, {name}: {told(plan, rows)}", flush=True)
            if void:
                print(
                    f"{file.stem}: {void} plays left out because the simulated hosts fell behind", flush=True
                )


if __name__ == "__main__":
    main()
