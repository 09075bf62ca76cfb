"""The soak: what is drawn from a seed, the shim of faulty calls, and one short seed on real processes."""

from __future__ import annotations

import errno
import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest
import trio

from violetstack.commands import soak as soak_command
from violetstack.rehearsal.fleet.campaign_faults import (
    SENDS_DURING_STREAM,
    ClientBehaviour,
    EnvironmentFault,
    ScriptSource,
)
from violetstack.rehearsal.fleet.campaign_result import CaseResult
from violetstack.rehearsal.fleet.fault_shim import ProcessFaults, SystemCall, build_shim
from violetstack.rehearsal.fleet.soak import SoakPlan, play_soak
from violetstack.rehearsal.fleet.soak_faults import FailingCall, SoakEvent, SoakFault, draw_soak

SEEDS = range(1, 101)
DURATION_S = 30.0
PLAYS = 3
SEED_PROCESSES = 5
SEED_DURATION_S = 21.0
SHORT_EVENTS = [
    SoakEvent(0.3, 1.0, SoakFault.SOCKET_ENFILE, 0),
    SoakEvent(0.4, 1.5, SoakFault.LOG_STALLS, 0),
    SoakEvent(0.5, 1.0, SoakFault.ACCEPT_ENOBUFS, 1),
    SoakEvent(0.6, 1.0, SoakFault.CLOCK_FORWARD, 1),
    SoakEvent(0.7, 0.5, EnvironmentFault.SIGHUP, 2),
    SoakEvent(0.8, 0.5, SoakFault.DISCOVERY_MOVES, 2),
]
PROBE = """
import errno, socket, sys, time
try:
    socket.socket()
    print("no error")
except OSError as error:
    print(errno.errorcode[error.errno])
pair = socket.socketpair()
print(pair[0].send(b"several bytes"))
print(round(time.time() - float(sys.argv[1]), -2))
"""


def test_a_seed_draws_the_same_troubles_again_and_all_of_them_come_up() -> None:
    assert draw_soak(3, DURATION_S, 24, 6) == draw_soak(3, DURATION_S, 24, 6)
    drawn = [event for seed in SEEDS for event in draw_soak(seed, DURATION_S, 24, 6)]
    assert {event.fault for event in drawn} == {*EnvironmentFault, *SoakFault}
    assert all(0.0 < event.at < DURATION_S for event in drawn)
    assert all(event.target < (6 if event.fault.name.startswith("HOST") else 24) for event in drawn)


def test_most_troubles_overlap_another() -> None:
    overlapping = 0
    events = draw_soak(3, DURATION_S, 24, 6)
    for event in events:
        others = [each for each in events if each is not event]
        overlapping += any(
            o.at <= event.at + event.duration_s and event.at <= o.at + o.duration_s for o in others
        )
    assert overlapping >= 0.8 * len(events)


def test_half_of_the_seeds_restart_a_dispatcher_in_each_wave() -> None:
    restarts = {EnvironmentFault.SIGTERM, SoakFault.SIGNAL_SERIES}
    often = sum(
        sum(event.fault in restarts for event in draw_soak(seed, DURATION_S, 24, 6)) > 5 for seed in SEEDS
    )
    assert 0.3 < often / len(SEEDS) < 0.7


def test_clients_that_go_on_with_a_connection_come_up() -> None:
    source = ScriptSource(1)
    scripts = [source.draw() for _ in range(400)]
    behaviours = {script.behaviour for script in scripts}
    assert behaviours == set(ClientBehaviour)
    assert any(script.reads_slowly and script.behaviour in SENDS_DURING_STREAM for script in scripts)


class FailingRehearsal:
    """Plays the seed that it is given, and fails at another."""

    def __init__(self, result: CaseResult) -> None:
        self._result = result

    def __call__(self, plan: SoakPlan) -> CaseResult:
        if plan.seed == 2:
            raise ExceptionGroup("nursery", [trio.BusyResourceError()])
        return self._result


def test_a_fault_of_the_rehearsal_costs_one_seed_and_too_many_fail_the_run(
    monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    """It ended the whole run with a traceback and no verdict."""
    judged = CaseResult(1, "", [], 1, 1, {}, [], [], 0.0, 0.0, [], [], {}, [], {})
    monkeypatch.setattr(soak_command, "play_soak", FailingRehearsal(judged))
    assert soak_command.run_soak([*range(1, 40)], 3, 1.0, shrinks=False) == 0
    assert "seed 2: void, the rehearsal failed: BusyResourceError" in capsys.readouterr().out
    assert soak_command.run_soak([1, 2, 3], 3, 1.0, shrinks=False) == 1


def test_each_failing_call_is_a_fault() -> None:
    assert {each.name for each in FailingCall} <= {each.name for each in SoakFault}


@pytest.fixture(scope="module")
def shim() -> Path:
    assert shutil.which("cc"), "the soak's shim needs a C compiler"
    return build_shim()


def test_the_shim_fails_calls_and_steps_the_wall_clock(shim: Path) -> None:
    faults = ProcessFaults()
    faults.fail(SystemCall.SOCKET, errno.ENFILE)
    faults.fail(SystemCall.SEND, 0)
    faults.step_wall_clock(3600.0)
    env = {**os.environ, "LD_PRELOAD": str(shim), "SOAK_FAULTS_FD": str(faults.descriptor)}

    def probe() -> list[str]:
        command = [sys.executable, "-c", PROBE, str(time.time())]
        return subprocess.run(
            command, env=env, pass_fds=(faults.descriptor,), capture_output=True, text=True, check=True
        ).stdout.split("\n")[:3]

    assert probe() == ["ENFILE", "1", "3600.0"]
    assert faults.failed(SystemCall.SOCKET) == 1
    faults.stop_failing(SystemCall.SOCKET)
    faults.stop_failing(SystemCall.SEND)
    faults.step_wall_clock(0.0)
    assert probe() == ["no error", "13", "0.0"]
    faults.close()


def play_until_judged(plan: SoakPlan, events: list[SoakEvent] | None = None) -> CaseResult:
    """Plays a seed again, twice at most, if it was void for want of processor time."""
    for _ in range(PLAYS):
        result = play_soak(plan, events)
        if not result.void:
            return result
    pytest.fail(f"void: lag {result.lag_s} s, starved {result.starved_s} s")


def test_a_short_soak_breaks_no_rule(shim: Path) -> None:
    result = play_until_judged(SoakPlan(1, 3, 3.0, shim), SHORT_EVENTS)
    assert [each.text for each in result.violations] + result.crashed == []
    assert result.invariants == {}
    assert result.triples
    assert result.statuses["served"] >= 5


@pytest.mark.parametrize("seed", [6001, 6002])
def test_seeds_that_held_too_long_before_the_incident_was_mended_break_no_rule(shim: Path, seed: int) -> None:
    """On 223878c 15 and 6 requests were held too long (incident of 2026-12-02, held state)."""
    result = play_until_judged(SoakPlan(seed, SEED_PROCESSES, SEED_DURATION_S, shim))
    assert [each.text for each in result.violations] + result.crashed == []
    assert result.invariants == {}
    assert result.statuses["served"] >= 100
