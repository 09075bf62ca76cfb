"""Priority weight earned with and without levels of reduced service, and the cost of an admission decision.

    .venv/bin/python -m benchmarks.levels [DISPATCHERS]

First runs the same arrivals in virtual time with and without levels (`benchmarks/fleet_model.py` states the
limits of the model), at loads from 0.8 to 5 times the capacity of the prefill hosts. Then measures the time
of one admission decision for growing numbers of sessions and tenants.
"""

from __future__ import annotations

import sys
import time

from benchmarks.fleet_model import Fleet
from violetstack.language.compiling import load_text
from violetstack.load_shedding.admission import AdmissionController, AdmissionWeights
from violetstack.load_shedding.levels import LevelActions, LevelPlan

OPERATOR_FILE = """
level strained {
  enter = lateness >= 100% or refused >= 10%
  enter_after = 1s
  leave = lateness < 60% and refused < 2%
  admit = 200%
}

level crisis {
  enter = lateness >= 200% or refused >= 35%
  enter_after = 1s
  leave = lateness < 90% and refused < 10%
  admit = 200%
  retries = 5%
}
"""
LOADS = (0.8, 1.0, 1.2, 1.5, 2.0, 5.0)
SEEDS = (1, 2)


def run_model(load: float, plan: LevelPlan | None, dispatchers: int) -> list[Fleet]:
    return [Fleet(lambda s: load, plan, dispatchers=dispatchers, seed=seed).run() for seed in SEEDS]


def compare(plan: LevelPlan, dispatchers: int) -> None:
    print(f"{dispatchers} dispatchers; priority weight earned, two seeds of 60 s")
    print("load        off         on   on/off   consulta    orden   in time off/on   shed  changes")
    for load in LOADS:
        off, on = (run_model(load, variant, dispatchers) for variant in (None, plan))
        earned = [sum(sum(f.earned.values()) for f in rows) for rows in (off, on)]
        by_class = [sum(f.earned[c] for f in on) / max(1, sum(f.earned[c] for f in off)) for c in (0, 1)]
        in_time = [sum(f.counts["in time"] for f in rows) for rows in (off, on)]
        shed = sum(f.counts["shed"] for f in on)
        changes = sum(len(node.moves) for f in on for node in f.nodes) / dispatchers / len(SEEDS)
        print(
            f"{load:4} {earned[0]:10.0f} {earned[1]:10.0f} {earned[1] / earned[0]:8.3f} {by_class[0]:10.3f} "
            f"{by_class[1]:8.3f} {in_time[0]:8}/{in_time[1]:<7} {shed:5} {changes:8.1f}"
        )


def measure_decisions() -> None:
    print("\nsessions  tenants   decision us   tick ms")
    for sessions, tenants in ((10, 10), (1_000, 10), (100_000, 10), (10, 10_000), (100_000, 10_000)):
        names = tuple(f"t{n}" for n in range(tenants))
        weights = AdmissionWeights((1.0, 0.6), ("a", "b"), (1.0 / tenants,) * tenants, names)
        admission = AdmissionController(weights)
        for n in range(max(sessions, tenants)):
            admission.record_demand(n * 0.001, n % 2, n % tenants, 1000.0)
        admission.set_actions(LevelActions(admitted_share=0.5))
        started = time.perf_counter()
        admission.tick(200.0)
        tick_ms = (time.perf_counter() - started) * 1e3
        session_names = [f"session-{n}" for n in range(sessions)]
        rounds = max(1, 100_000 // sessions)
        started = time.perf_counter()
        for _ in range(rounds):
            for n, name in enumerate(session_names):
                admission.decide(200.0, n % 2, n % tenants, name, 1000.0, is_session=True)
        decision_us = (time.perf_counter() - started) / rounds / sessions * 1e6
        print(f"{sessions:8} {tenants:8} {decision_us:13.2f} {tick_ms:9.2f}")


if __name__ == "__main__":
    compare(load_text(OPERATOR_FILE).levels, int(sys.argv[1]) if len(sys.argv) > 1 else 3)
    measure_decisions()
