"""How far a host's response has come, and until when it has to continue."""

from __future__ import annotations

import math

import msgspec
import trio

from violetstack.protocol.answer_events import AnswerEvent, EventKind

HEAD_TIMEOUT_S = 30.0
"""Limit for the first byte of a response; the attempt's own deadline is far shorter."""
MAX_CLIENT_WAIT_S = 5.0
"""A client must not wait for longer after a running host's last event."""
PROCESS_DELAY_S = 0.15
"""For so long a process may be held up between reading its clock and writing."""
CLOSE_DURATION_S = 0.1
"""Upper limit for noticing the end of the limit and closing the client's connection."""
EVENT_TIMEOUT_S = MAX_CLIENT_WAIT_S - PROCESS_DELAY_S - CLOSE_DURATION_S
"""Limit between two events of an answer, unless the bytes of the next one are arriving evenly."""
MAX_EVENT_DURATION_S = 2.0 * MAX_CLIENT_WAIT_S
"""Limit between two events of an answer in any case: a host may never complete an event."""
MAX_GAP_RATIO = 2.0
"""Bytes of an event arrive evenly while no pause is longer than the longest one before by this factor."""
PARTIAL_TIMEOUT_S = 1.5
"""Limit for the next bytes of a response that has begun, up to its first event, if it can be retried."""


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


class EventPace:
    """The pace at which the bytes of an incomplete event arrive. Times are on trio's clock, in seconds."""

    def __init__(self) -> None:
        """Starts without bytes."""
        self._last_part_at: float | None = None
        self._longest_gap_s = 0.0

    def part_received(self) -> None:
        """Records that bytes of the event have arrived."""
        now = trio.current_time()
        if self._last_part_at is not None:
            self._longest_gap_s = max(self._longest_gap_s, now - self._last_part_at)
        self._last_part_at = now

    def next_part_due_at(self) -> float:
        """Returns until when the next bytes have to arrive; before two parts there is no pace to go by."""
        if self._last_part_at is None:
            return -math.inf
        return self._last_part_at + MAX_GAP_RATIO * self._longest_gap_s


class ResponseProgress:
    """Measures the time since a response has advanced.

    A host that keeps its connection busy with comments, empty events or bytes of no event does not advance:
    its client would wait for ever. A host that writes slowly does, as long as events or the bytes of one
    arrive. Times are on trio's clock, in seconds.
    """

    def __init__(self) -> None:
        """Starts with a response of which nothing has arrived."""
        self._advanced_at = trio.current_time()
        """When the response began, or when its first event or the last event of its answer arrived."""
        self._part_received_at = self._advanced_at
        """When the last bytes of an incomplete head or event arrived."""
        self.advances = 0
        """Number of events that have continued the answer."""
        self._event_pace = EventPace()
        self._usage_received = False
        self._done = False

    @property
    def idle_ms(self) -> float:
        """Time since the last event of the answer."""
        return (trio.current_time() - self._advanced_at) * 1000.0

    def deadline(self, *, stream_started: bool, partial: bool, may_retry: bool) -> float:
        """Returns until when the response has to continue.

        Args:
            stream_started: Whether an event has been forwarded. From then on only events count, and bytes of
                one that arrive evenly.
            partial: Whether a part of the response has arrived, but no event.
            may_retry: Whether the request may be repeated. Otherwise nothing is gained by giving up before
                the request's own deadline.
        """
        if stream_started:
            return max(self._advanced_at + EVENT_TIMEOUT_S, self._incomplete_event_deadline())
        if partial and may_retry:
            return self._part_received_at + PARTIAL_TIMEOUT_S
        return self._advanced_at + HEAD_TIMEOUT_S

    def _incomplete_event_deadline(self) -> float:
        """Returns until when the event has to continue whose bytes are arriving; none follows `[DONE]`."""
        if self._done:
            return -math.inf
        return min(self._event_pace.next_part_due_at(), self._advanced_at + MAX_EVENT_DURATION_S)

    def part_received(self) -> None:
        """Records that bytes of an incomplete head or event have arrived."""
        self._part_received_at = trio.current_time()

    def event_part_received(self) -> None:
        """Records that bytes of an incomplete event with data have arrived."""
        self._event_pace.part_received()

    def stream_started(self) -> None:
        """Records that the first event is forwarded."""
        self._advanced_at = trio.current_time()

    def event_received(self, event: AnswerEvent) -> None:
        """Records a complete event; token counts and the end marker count once, and nothing after that."""
        self._event_pace = EventPace()
        if self._done:
            return
        advances = event.continues_answer
        if event.kind is EventKind.USAGE and not self._usage_received:
            self._usage_received = True
            advances = True
        self._done = event.kind is EventKind.DONE
        if advances:
            self.advances += 1
            self._advanced_at = trio.current_time()

    def client_waited(self, wait_s: float) -> None:
        """Leaves out the time for which this process has waited for its client."""
        self._advanced_at += wait_s
        self._part_received_at += wait_s

    def resume(self, idle_ms: float, *, done: bool) -> None:
        """Continues a stream whose last event of the answer arrived `idle_ms` ago in another process.

        Args:
            idle_ms: Time since the last event of the answer.
            done: Whether that event was `[DONE]`, behind which nothing continues the answer.
        """
        self._done = done
        self._advanced_at = trio.current_time() - idle_ms / 1000.0
