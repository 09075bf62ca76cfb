"""`violetstack rehearse faults`: runs cases of the fault campaign and prints one line for each."""

from __future__ import annotations

import multiprocessing
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed

import click
import msgspec

from violetstack.rehearsal.fleet.campaign import play_case
from violetstack.rehearsal.fleet.campaign_result import CaseResult
from violetstack.rehearsal.fleet.programs import die_with_parent


def parse_seeds(text: str) -> list[int]:
    """Parses seeds such as `7`, `1-200` or `1,5-9`.

    Raises:
        click.UsageError: A part of the text is neither a number nor a range.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.strip().partition("-")
        if not first.isdigit() or not (last or first).isdigit():
            raise click.UsageError(f"--seeds {text!r}: {part.strip()!r} is neither a number nor a range")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def run_faults(seeds: list[int], jobs: int, duration_s: float, as_json: bool) -> int:
    """Runs the cases, `jobs` at a time.

    Returns 1 if a rule was violated, a dispatcher crashed or a case could not be run, else 0.
    """
    pairs: set[tuple[str, str]] = set()
    broken: list[int] = []
    void: list[int] = []
    attempts = 0
    requests = 0
    completed = 0
    for result in _run_cases(seeds, jobs, duration_s):
        click.echo(msgspec.json.encode(result).decode() if as_json else show_case(result))
        if not as_json:
            show_violations(result)
        completed += 1
        pairs.update(result.pairs)
        requests += result.requests
        attempts += result.attempts
        if result.void:
            void.append(result.seed)
        elif result.violations or result.crashed:
            broken.append(result.seed)
    if not as_json:
        click.echo(
            f"{completed} of {len(seeds)} cases, {requests} requests, {attempts} attempts, "
            f"{len(pairs)} pairs of faults; broken: {list_seeds(broken)}; void: {list_seeds(void)}"
        )
    return 1 if broken or completed < len(seeds) else 0


def _run_cases(seeds: list[int], jobs: int, duration_s: float) -> Iterator[CaseResult]:
    if jobs == 1:
        for seed in seeds:
            yield play_case(seed, duration_s)
        return
    # Each case starts child processes and runs an event loop, so it must not inherit state through a fork.
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=spawn, initializer=die_with_parent) as pool:
        futures = [pool.submit(play_case, seed, duration_s) for seed in seeds]
        for future in as_completed(futures):
            if (error := future.exception()) is not None:
                click.echo(f"a case could not be run: {error!r}", err=True)
                continue
            yield future.result()


def show_case(result: CaseResult) -> str:
    """Describes a case in one line."""
    rules = sorted({violation.rule for violation in result.violations} | set(result.invariants))
    verdict = "void" if result.void else "ok" if not rules and not result.crashed else "BROKEN"
    statuses = " ".join(f"{name}={count}" for name, count in sorted(result.statuses.items()))
    environment = ", ".join(result.environment)
    return (
        f"seed {result.seed}: {verdict} {', '.join(rules + result.crashed)}| {environment} | {statuses} | "
        f"{result.attempts} attempts, {len(result.pairs)} pairs, lag {result.lag_s * 1000:.0f} ms, "
        f"starved {result.starved_s * 1000:.0f} ms | "
        f"{result.deployment}"
    )


def show_violations(result: CaseResult) -> None:
    """Prints the rules that a case violated, each with the timeline and log lines of its request."""
    for violation in result.violations:
        click.echo(f"  {violation.text}")
        for row in violation.timeline:
            click.echo(f"      {row}")
        for line in violation.log:
            click.echo(f"      log {line}")
    for line in result.invariant_lines:
        click.echo(f"  log {line}")


def list_seeds(seeds: list[int]) -> str:
    """Lists the seeds in ascending order, or `none`."""
    return ", ".join(map(str, sorted(seeds))) or "none"
