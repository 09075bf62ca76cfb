"""Stores the endpoint list and the learned state in a folder, and reads them at startup."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import trio

from violetstack.handover.learned_state import LearnedState
from violetstack.log import log
from violetstack.net.background_writer import BackgroundWriter
from violetstack.net.clock import now_ms
from violetstack.net.endpoint_cache import EndpointCache
from violetstack.net.state_directory import StateDirectory
from violetstack.operator_config import StateConfig
from violetstack.protocol.discovery import EndpointListMessage, ListedEndpoint
from violetstack.recovery.cached_endpoints import MAX_CLOCK_SKEW_MS
from violetstack.recovery.panic_threshold import PanicThreshold
from violetstack.state.snapshot import EndpointMessage, encode_endpoints, encode_learned

LEARNED_STATE_INTERVAL_S = 2.0
LAST_FLUSH_TIMEOUT_S = 0.3  # the longest time that a shutdown waits for the disk
MS_PER_HOUR = 3_600_000.0


class StateWriter:
    """Stores the state in the folder named by the operator's file.

    Attributes:
        endpoint_cache: The endpoints that a starting dispatcher uses until service discovery sends its list.
        panic_threshold: The check of complete lists, configured by the operator's file.
    """

    def __init__(
        self, file: StateConfig, seed: int, warm_up_ms: float, learned_state: Callable[[], LearnedState]
    ) -> None:
        """Creates a writer that has not read or written anything.

        Args:
            file: The `state` section of the operator's file.
            seed: Seeds the random sources.
            warm_up_ms: How long an endpoint warms up after its start.
            learned_state: Returns the current estimates of the policy.
        """
        self._writer = BackgroundWriter(StateDirectory(file.folder), Random(seed))
        self._learned_state = learned_state
        self._max_age_ms = file.keep_hours * MS_PER_HOUR
        self.endpoint_cache = EndpointCache(
            warm_up_ms=warm_up_ms, max_age_ms=self._max_age_ms, rng=Random(seed)
        )
        self.panic_threshold = PanicThreshold(file.doubt or float("inf"), file.doubt_s * 1000.0)

    async def load_endpoints(self, configured: EndpointListMessage) -> EndpointListMessage:
        """Reads the stored state; returns the `configured` endpoints merged with the stored ones."""
        await self._writer.recover()
        return self.endpoint_cache.load(configured, self._writer.snapshot)

    def stored_learned_state(self) -> LearnedState | None:
        """Returns the estimates of the previous process; None if they are too old or dated in the future."""
        learned = self._writer.snapshot.learned
        if learned is None or not -MAX_CLOCK_SKEW_MS <= now_ms() - learned.captured_at_ms <= self._max_age_ms:
            return None
        return learned

    def store_endpoints(self, servers: tuple[ListedEndpoint, ...], version: int, *, complete: bool) -> None:
        """Stores a message of service discovery: a complete list, or changes of it."""
        message = EndpointMessage(now_ms(), version, servers)
        self._writer.snapshot.apply_endpoints(message, complete=complete)
        self._writer.append(encode_endpoints(message, complete=complete))

    def store_learned_state(self) -> None:
        """Stores the current estimates of the policy."""
        learned = self._learned_state()
        self._writer.snapshot.learned = learned
        self._writer.append(encode_learned(learned))

    async def run(self) -> None:
        """Writes state in the background until cancelled, with the learned state at a regular interval."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._writer.run)
            while True:
                await trio.sleep(LEARNED_STATE_INTERVAL_S)
                self.store_learned_state()

    async def flush(self) -> None:
        """Writes pending records.

        Raises:
            OSError: They could not be written.
        """
        await self._writer.flush()

    async def stop(self) -> None:
        """Writes pending records; waits for the disk for at most LAST_FLUSH_TIMEOUT_S."""
        with trio.move_on_after(LAST_FLUSH_TIMEOUT_S):
            try:
                await self._writer.flush()
            except OSError as error:
                log("state_io_failed", error=str(error), operation="write", retry_in_s=0)
