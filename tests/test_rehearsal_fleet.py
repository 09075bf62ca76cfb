"""Fleet runs: their audit, their plans, and dispatcher processes that serve while faults are injected."""

from __future__ import annotations

import pytest

from violetstack.rehearsal.fleet.audit import Audit, ClientRequest, recovery_time_s, timeline
from violetstack.rehearsal.fleet.plan import Plan, PlanError, PlannedFault, read
from violetstack.rehearsal.fleet.runner import play


def make_audit() -> Audit:
    """Return an audit that has recorded one served order of dispatcher 3."""
    audit = Audit(drain_grace_s=0.25, release_s=1.0, overload_window_s=1.5, overload_ratio=2.5)
    audit.requests["q"] = ClientRequest("q", 3, True, True, 1.0, 6.0, "served", 1.2, 2.0)
    return audit


def test_the_audit_finds_each_violated_rule_and_nothing_in_a_correct_run() -> None:
    good = make_audit()
    good.request_received(1.1, "r0", "q", 0.1, None)
    good.state_held(1.2, "r0", "q")
    good.attempt_ended(1.2, "q")
    good.drains_written[(3, "w0")] = 1.2
    good.request_received(1.3, "w0", "q", 0.1, 1.0)
    good.state_released(1.4, "q")
    good.answer_begun("w0", "q")
    good.finish(9.0)
    assert good.violations == []

    bad = make_audit()
    bad.drains_written[(3, "w0")] = 1.0
    bad.request_received(1.4, "w0", "q", 0.1, None)
    bad.answer_begun("w0", "q")
    bad.answer_begun("w1", "q")
    bad.attempt_ended(1.5, "q")
    bad.state_held(1.6, "r0", "q")
    bad.state_released(3.2, "q")
    survived = [bad.request_received(4.0 + n / 10, "r1", f"p{n}", 1.0, 0.3) for n in range(4)]
    assert survived == [True, True, True, False]
    bad.requests["q"].outcome = ""
    bad.finish(9.0)
    assert [violation.partition(":")[0] for violation in bad.violations] == [
        "drain",
        "order",
        "held",
        "cold",
        "answer",
    ]


def test_service_has_recovered_once_nearly_all_is_served_about_as_fast_as_before() -> None:
    requests = []
    for n in range(80):
        outcome = "served"
        first_token_s = 0.1
        if 2.0 <= n * 0.1 < 3.0:
            outcome = "refused"
        if 3.0 <= n * 0.1 < 3.5:
            first_token_s = 0.2
        requests.append(
            ClientRequest(f"q{n}", 0, False, True, n * 0.1, 9.0, outcome, n * 0.1 + first_token_s, 9.0)
        )
    rows = timeline(requests, [], [], 8.0)
    assert recovery_time_s(rows, 0.0, 2.0, 2.0) == 1.5
    assert recovery_time_s(rows[:6], 0.0, 2.0, 2.0) is None


@pytest.mark.parametrize(
    ("text", "reason"),
    [
        ("seed = 1\nrate = 0", "rate above 0"),
        ("seed = 1\nspeed = 2", "unknown field `speed`"),
        ('seed = 1\n[[trouble]]\nat = 1\ndo = "kill"\nwho = "0-9"', "'0-9' is none of 0 to 3"),
        ('seed = 1\n[[trouble]]\nat = 1\ndo = "drain"\nwho = "r9"', "no host 'r9'"),
        ('seed = 1\n[[trouble]]\nat = 11\ndo = "kill"', "outside of 0 to seconds"),
        ('seed = 1\n[[trouble]]\nat = 1\ndo = "network"\nhow = "mud"', "'mud' is none of cut"),
    ],
)
def test_an_invalid_plan_is_rejected_with_the_reason(text: str, reason: str) -> None:
    with pytest.raises(PlanError, match=reason.replace("`", ".")):
        read(text)


def test_a_dispatcher_that_resumes_after_sigstop_uses_current_state_while_another_is_killed() -> None:
    """Regression: it cut streams as silent whose events were in the sockets, and sent to draining hosts."""
    stop = PlannedFault(1.5, "stop", "0", 4.6)
    drain = PlannedFault(2.5, "drain", "r0,w0")
    kill = PlannedFault(3.0, "kill", "1", 0.2)
    plan = Plan(
        seed=4,
        dispatchers=3,
        rate=30,
        warm_up_s=2,
        duration_s=8,
        ejection_delay_s=3,
        faults=[stop, drain, kill],
    )
    result = play(plan)
    assert (result.violations, result.stale_sends, result.crashed) == ([], 0, [])
    assert result.events["process_paused"] >= 1 and result.events["started"] == 4
    assert result.outcomes["served"] > 150
    assert not [line for line in result.fault_lines if "'silent'" in line]


def test_most_dispatchers_restart_and_serve_while_discovery_is_silent_or_outdated() -> None:
    discovery_faults = [
        PlannedFault(1.5, "discovery", "0-1", 3.0, "silent"),
        PlannedFault(1.5, "discovery", "2", 3.0, "old"),
    ]
    plan = Plan(
        seed=5,
        dispatchers=4,
        rate=30,
        warm_up_s=2,
        duration_s=6,
        faults=[*discovery_faults, PlannedFault(1.6, "kill", "0-2")],
    )
    result = play(plan)
    assert (result.violations, result.crashed) == ([], [])
    assert result.events["started"] == 7 and len(result.ready_s) == 3
    late = result.lines[8:]  # from a second after the starts, while discovery is still not available
    assert sum(row["served"] for row in late) >= 0.95 * sum(row["asked"] for row in late)
