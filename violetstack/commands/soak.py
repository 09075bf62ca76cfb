"""`violetstack rehearse soak`: runs seeds of the soak test and prints one line for each."""

from __future__ import annotations

from collections import Counter

import click

from violetstack.commands.faults import list_seeds, show_case, show_violations
from violetstack.rehearsal.fleet.campaign_result import CaseResult
from violetstack.rehearsal.fleet.fault_shim import ShimNotBuiltError, build_shim
from violetstack.rehearsal.fleet.soak import SoakPlan, play_soak, shrink
from violetstack.rehearsal.fleet.soak_faults import SoakEvent

SECONDS_PER_MINUTE = 60.0
MAX_VOID_SHARE = 0.05


def run_soak(seeds: list[int], processes: int, minutes: float, *, shrinks: bool) -> int:
    """Runs the seeds one after the other.

    Returns 1 if a rule was violated, a dispatcher crashed, no seed got a verdict or too many seeds were void.
    """
    try:
        shim = build_shim()
    except ShimNotBuiltError as error:
        click.echo(f"system call failures and clock steps are not injected: {error}")
        shim = None
    totals = SoakTotals()
    for seed in seeds:
        plan = SoakPlan(seed, processes, minutes * SECONDS_PER_MINUTE, shim)
        try:
            result = play_soak(plan)
        except Exception as error:  # a failure of the rehearsal itself only makes this seed void
            click.echo(f"seed {seed}: void, the rehearsal failed: {_root_cause(error)!r}")
            totals.add_void(seed)
            continue
        totals.add(result)
        click.echo(show_case(result))
        if result.void or not is_broken(result):
            continue
        show_violations(result)
        if shrinks:
            for event in shrink(plan, result):
                click.echo(f"  needed: {_describe(event)}")
    click.echo(totals.describe(processes))
    return 1 if totals.broken or not totals.judged or totals.too_many_void else 0


def _root_cause(error: BaseException) -> BaseException:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def is_broken(result: CaseResult) -> bool:
    """Whether the auditor, the dispatchers' own invariants or an exit status reports a fault."""
    return bool(result.violations or result.invariants or result.crashed)


def _describe(event: SoakEvent) -> str:
    return f"{event.at:.2f} s {event.fault.value} at {event.target} for {event.duration_s:.1f} s"


class SoakTotals:
    """The totals over all seeds."""

    def __init__(self) -> None:
        self.judged = 0
        self.broken: list[int] = []
        self._void: list[int] = []
        self._requests = 0
        self._attempts = 0
        self._pairs: set[tuple[str, str]] = set()
        self._triples: set[tuple[str, str, str]] = set()
        self._by_rule: Counter[str] = Counter()
        self._by_invariant: Counter[str] = Counter()

    def add_void(self, seed: int) -> None:
        """Counts a seed that the rehearsal could not run."""
        self._void.append(seed)

    @property
    def too_many_void(self) -> bool:
        """Whether the share of seeds without a verdict exceeds `MAX_VOID_SHARE`."""
        return len(self._void) > MAX_VOID_SHARE * (self.judged + len(self._void))

    def add(self, result: CaseResult) -> None:
        """Counts the result of one seed."""
        self._requests += result.requests
        self._attempts += result.attempts
        self._pairs.update(result.pairs)
        self._triples.update(result.triples)
        if result.void:
            self._void.append(result.seed)
            return
        self.judged += 1
        if is_broken(result):
            self.broken.append(result.seed)
        self._by_rule.update(violation.rule for violation in result.violations)
        self._by_invariant.update(result.invariants)
        self._by_rule["crash"] += len(result.crashed)

    def describe(self, processes: int) -> str:
        """Describes the totals in one line, the last of the report."""
        rules = " ".join(f"{rule}={count}" for rule, count in sorted(self._by_rule.items()) if count)
        invariants = " ".join(f"{rule}={count}" for rule, count in sorted(self._by_invariant.items()))
        return (
            f"{self.judged} seeds judged, {processes} processes each, {self._requests} requests, "
            f"{self._attempts} attempts, {len(self._pairs)} pairs and {len(self._triples)} triples met; "
            f"violations seen from outside: {rules or 'none'}; by the dispatchers: {invariants or 'none'}; "
            f"broken: {list_seeds(self.broken)}; void: {list_seeds(self._void)}"
        )
