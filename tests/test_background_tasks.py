"""Failures of background tasks must not end the process and with it the requests in flight."""

from __future__ import annotations

import pytest
import trio
import trio.testing

from tests.process_time import wait_until
from tests.test_process_pause import GRACE_MS, pause_process
from tests.test_stories import pair, play
from violetstack.daemon.background_task import RESTART_DELAY_S, start_background_task
from violetstack.handover.errors import InvalidOfferError, InvalidRecordError
from violetstack.handover.record import FORMAT_VERSION, _checksum, decode_record
from violetstack.handover.stream_migration import decode_offer
from violetstack.net.pause_detector import PauseDetector
from violetstack.policy_api import EndpointUpdate
from violetstack.rehearsal.clients import ask_platform
from violetstack.rehearsal.stage import Stage


def test_a_task_that_fails_is_restarted_until_it_succeeds() -> None:
    started_at: list[float] = []
    starts_before_restart: list[int] = []

    async def fail_twice(name: str) -> None:
        assert name == "n0"
        started_at.append(trio.current_time())
        if len(started_at) < 3:
            raise RuntimeError("unexpected")

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            start_background_task(
                nursery,
                fail_twice,
                "n0",
                before_restart=lambda: starts_before_restart.append(len(started_at)),
            )

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0.0))
    assert [at - started_at[0] for at in started_at] == pytest.approx(
        [0.0, RESTART_DELAY_S, 2 * RESTART_DELAY_S]
    )
    assert starts_before_restart == [1, 2]


def test_a_watch_that_fails_requests_the_complete_list_and_requests_are_served() -> None:
    """Regression: an exception of the pool or the core on an update ended the process."""
    prefill_host, decode_host = pair()

    async def story(on: Stage) -> None:
        await on.daemon.endpoints.watch.responded.wait()  # type: ignore[union-attr]
        apply_update = on.daemon.core.update_endpoints
        failures = [RuntimeError("unexpected")]

        def fail_once(now: float, update: EndpointUpdate) -> None:
            if failures:
                raise failures.pop()
            apply_update(now, update)

        on.daemon.core.update_endpoints = fail_once  # type: ignore[method-assign]
        on.discovery.publish({**decode_host.row(), "id": "w2", "addr": "127.0.0.1:1", "state": "leaving"})
        await wait_until(lambda: "w2" in on.daemon.core.draining)
        assert not failures
        assert (await ask_platform(on.platform, "q1", "orden")).outcome == "served"

    play(prefill_host, decode_host, story=story)


def test_sends_continue_after_the_handling_of_a_pause_fails() -> None:
    """Regression: they waited forever for the sockets to be read."""

    def fail(_pause_ms: float) -> None:
        raise RuntimeError("unexpected")

    async def main() -> None:
        detector = PauseDetector(GRACE_MS, fail)
        async with trio.open_nursery() as nursery:
            start_background_task(nursery, detector.run)
            await trio.testing.wait_all_tasks_blocked()
            pause_process(1.2 * GRACE_MS)
            await trio.lowlevel.checkpoint()
            assert detector.catching_up
            with trio.fail_after(2.0):
                await detector.wait_caught_up()
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("body", [b'{"a":' + b"[" * 100_000, b'{"id":"\xff"}'], ids=["nested", "utf-8"])
def test_an_offer_or_record_that_is_not_json_raises_only_the_error_of_its_decoder(body: bytes) -> None:
    """Regression: the decoders raised errors that their callers do not expect."""
    with pytest.raises(InvalidOfferError):
        decode_offer(body, 1)
    record = f"{FORMAT_VERSION} {_checksum(body)}\n".encode() + body
    with pytest.raises(InvalidRecordError):
        decode_record(record, "n0", 0.0)
