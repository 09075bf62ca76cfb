"""How far a host's response has come, and until when it has to continue."""

from __future__ import annotations

import msgspec
import trio

from violetstack.net.upstream.answer_events import EventKind

HEAD_TIMEOUT_S = 30.0
"""Limit for the first byte of a response; the attempt's own deadline is far shorter."""
EVENT_TIMEOUT_S = 4.3
"""Limit between two events of an answer: a client must not wait for 5 s after the last one."""
PARTIAL_TIMEOUT_S = 1.5
"""Limit for the next bytes of a response that has begun, up to its first event."""


class StreamPosition(msgspec.Struct, frozen=True):
    """How far a stream has come, for the process that continues it.

    Attributes:
        cached_tokens: Number of prompt tokens that the host found in its cache.
        done: Whether `[DONE]` has been received; None if the process before does not tell, as older releases.
        idle_ms: Time since the last event of the answer.
    """

    cached_tokens: int
    done: bool | None
    idle_ms: float = 0.0


class ResponseProgress:
    """Measures the time since a response has advanced.

    A host that keeps its connection busy with comments, empty events or bytes that complete no event does not
    advance: its client would wait for ever. A host that writes slowly does, as long as its events arrive.
    Times are on trio's clock, in seconds.
    """

    def __init__(self) -> None:
        """Starts with a response of which nothing has arrived."""
        self._advanced_at = trio.current_time()
        """When the response began, or when its first event or the last event of its answer arrived."""
        self._part_received_at = self._advanced_at
        """When the last bytes of an incomplete head or event arrived."""
        self.advances = 0
        """Number of events that have continued the answer."""
        self._usage_received = False
        self._done = False

    @property
    def idle_ms(self) -> float:
        """Time since the last event of the answer."""
        return (trio.current_time() - self._advanced_at) * 1000.0

    def deadline(self, *, stream_started: bool, partial: bool) -> float:
        """Returns until when the response has to continue.

        Args:
            stream_started: Whether an event has been forwarded. From then on only events count: the parts of
                one may come as slowly as the limit between two events allows.
            partial: Whether a part of the response has arrived, but no event.
        """
        if stream_started:
            return self._advanced_at + EVENT_TIMEOUT_S
        if partial:
            return self._part_received_at + PARTIAL_TIMEOUT_S
        return self._advanced_at + HEAD_TIMEOUT_S

    def part_received(self) -> None:
        """Records that bytes of an incomplete head or event have arrived."""
        self._part_received_at = trio.current_time()

    def stream_started(self) -> None:
        """Records that the first event is forwarded."""
        self._advanced_at = trio.current_time()

    def event_received(self, kind: EventKind) -> None:
        """Records a complete event; token counts and the end marker count once, and nothing after that."""
        if self._done:
            return
        advances = kind in (EventKind.CONTENT, EventKind.DONE)
        if kind is EventKind.USAGE and not self._usage_received:
            self._usage_received = True
            advances = True
        self._done = kind is EventKind.DONE
        if advances:
            self.advances += 1
            self._advanced_at = trio.current_time()

    def client_waited(self, wait_s: float) -> None:
        """Leaves out the time for which this process has waited for its client."""
        self._advanced_at += wait_s
        self._part_received_at += wait_s

    def resume(self, idle_ms: float) -> None:
        """Continues a stream whose last event of the answer arrived `idle_ms` ago in another process."""
        self._advanced_at = trio.current_time() - idle_ms / 1000.0
