"""`violetstack rehearse faults`: plays cases of the fault campaign and reports a line for each."""

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
    """The seeds of `7`, `1-200` or `1,5-9`.

    Raises:
        click.UsageError: The text is none of these.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.strip().partition("-")
        if not first.isdigit() or not (last or first).isdigit():
            raise click.UsageError(f"--seeds {text!r}: {part.strip()!r} is no number and no range")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def run_faults(seeds: list[int], jobs: int, duration_s: float, as_json: bool) -> int:
    """Plays the cases, `jobs` at a time.

    Returns 1 if a rule was broken, a dispatcher crashed or a case could not be played, else 0.
    """
    pairs: set[tuple[str, str]] = set()
    broken: list[int] = []
    void: list[int] = []
    attempts = 0
    requests = 0
    played = 0
    for result in _play(seeds, jobs, duration_s):
        click.echo(msgspec.json.encode(result).decode() if as_json else show_case(result))
        if not as_json:
            show_violations(result)
        played += 1
        pairs.update(result.pairs)
        requests += result.requests
        attempts += result.attempts
        if result.void:
            void.append(result.seed)
        elif result.violations or result.crashed:
            broken.append(result.seed)
    if not as_json:
        click.echo(
            f"{played} of {len(seeds)} cases, {requests} requests, {attempts} attempts, "
            f"{len(pairs)} pairs of faults; broken: {list_seeds(broken)}; void: {list_seeds(void)}"
        )
    return 1 if broken or played < len(seeds) else 0


def _play(seeds: list[int], jobs: int, duration_s: float) -> Iterator[CaseResult]:
    if jobs == 1:
        for seed in seeds:
            yield play_case(seed, duration_s)
        return
    # Each case starts processes of its own and runs an event loop, so nothing may be inherited by a fork.
    spawn = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=spawn, initializer=die_with_parent) as pool:
        futures = [pool.submit(play_case, seed, duration_s) for seed in seeds]
        for future in as_completed(futures):
            if (error := future.exception()) is not None:
                click.echo(f"a case could not be played: {error!r}", err=True)
                continue
            yield future.result()


def show_case(result: CaseResult) -> str:
    """One line about a case."""
    rules = sorted({each.rule for each in result.violations} | set(result.invariants))
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
    """The broken rules of a case, each with the course of its request."""
    for each in result.violations:
        click.echo(f"  {each.text}")
        for row in each.timeline:
            click.echo(f"      {row}")
        for line in each.log:
            click.echo(f"      log {line}")
    for line in result.invariant_lines:
        click.echo(f"  log {line}")


def list_seeds(seeds: list[int]) -> str:
    """The seeds in their order, or `none`."""
    return ", ".join(map(str, sorted(seeds))) or "none"
