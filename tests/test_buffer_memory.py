"""What is kept of input and output takes memory by its length, in whatever pieces it comes."""

from __future__ import annotations

import sys
import time
from functools import partial

import trio
from hypothesis import given
from hypothesis import strategies as st

from tests.traced_memory import measure_kept
from violetstack.fronts.completion_response import Completion
from violetstack.net.downstream.read_times import ReadTimes
from violetstack.net.downstream.write_queue import WriteQueue
from violetstack.protocol.answer_events import read_event
from violetstack.protocol.discovery import JsonObjectSplitter
from violetstack.protocol.http_server import MAX_BODY_BYTES, HttpServerConnection
from violetstack.protocol.sse import EventSplitter

READ_SIZE = 32 * 1024
CHUNKED_HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
MAX_OVERHEAD = 1.5
"""A buffer that grows has up to an eighth more than it needs, and fixed costs count for little here."""


def chunks(body: bytes, size: int) -> bytes:
    pieces = [body[start : start + size] for start in range(0, len(body), size)]
    return b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)


def receive(sent: bytes) -> HttpServerConnection:
    """Returns a connection that has received bytes, in reads of READ_SIZE, and waits for the rest."""
    connection = HttpServerConnection()
    for start in range(0, len(sent), READ_SIZE):
        connection.feed(sent[start : start + READ_SIZE])
        assert connection.next_request() is None
        while connection.input_pending:
            assert connection.next_request() is None
    return connection


# Guards against a process that is killed for its memory: each chunk of 4 bytes of a body was kept as 85.
def test_a_body_in_small_chunks_takes_memory_by_its_length_and_is_counted_by_it() -> None:
    body_bytes = 120_000
    for chunk_size in (1, 4, 1000):
        sent = CHUNKED_HEAD + chunks(b"x" * body_bytes, chunk_size)
        connection, size = measure_kept(partial(receive, sent))
        kept = size - measure_kept(partial(receive, CHUNKED_HEAD))[1]
        assert kept < MAX_OVERHEAD * body_bytes
        assert 0.9 * kept < connection.buffered_bytes < MAX_OVERHEAD * size


# Guards against heads that take forty times their length while their bodies arrive, and are not counted.
def test_the_fields_of_a_head_are_counted_by_their_memory() -> None:
    fields = b"".join(b"a%x:b\r\n" % n for n in range(1500))
    head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n" + fields + b"\r\n"
    connection, size = measure_kept(partial(receive, head))
    kept = size - measure_kept(partial(receive, CHUNKED_HEAD))[1]
    assert 0.9 * kept < connection.buffered_bytes < 2.0 * size


def test_requests_behind_one_another_are_counted_by_their_memory() -> None:
    request = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"
    connection = HttpServerConnection()
    connection.feed(request * 1000)
    first = connection.next_request()
    assert first is not None
    assert connection.buffered_bytes > len(request) * 999 + len(first.body)
    assert connection.unread == len(request) * 999


def test_what_is_kept_of_a_request_is_dropped_with_its_response() -> None:
    connection = HttpServerConnection()
    connection.feed(CHUNKED_HEAD + chunks(b"x" * 1000, 10) + b"0\r\n\r\n")
    assert connection.next_request() is not None
    assert connection.buffered_bytes > 1000
    connection.answer(200, [], b"")
    connection.drop_request()
    assert connection.buffered_bytes <= 2 * sys.getsizeof(bytearray(1))  # of two empty buffers


def test_a_complete_body_in_chunks_is_what_was_sent() -> None:
    body = bytes(range(256)) * 40
    for chunk_size in (1, 3, 5000):
        connection = HttpServerConnection()
        connection.feed(CHUNKED_HEAD + chunks(body, chunk_size) + b"0\r\nX-Trailer: y\r\n\r\n")
        request = connection.next_request()
        while request is None:
            assert connection.input_pending
            request = connection.next_request()
        assert bytes(request.body) == body
    assert len(body) < MAX_BODY_BYTES


# Guards against streams whose clients read slowly: an event of a few bytes was kept as three objects.
def test_output_in_small_parts_takes_memory_by_its_length() -> None:
    def fill() -> WriteQueue:
        queue = WriteQueue()
        for _ in range(10_000):
            queue.put([b"3\r\n", memoryview(bytearray(b":\n\n")), b"\r\n"])
        return queue

    queue, size = measure_kept(fill)
    assert queue.pending_bytes == 80_000
    assert size < MAX_OVERHEAD * queue.pending_bytes
    assert queue.memory_bytes > 0.9 * size


def test_a_slice_of_a_large_buffer_in_the_output_does_not_keep_the_buffer() -> None:
    def fill() -> list[WriteQueue]:
        queues = []
        for _ in range(20):
            queue = WriteQueue()
            queue.put([memoryview(bytearray(READ_SIZE))[:10]])
            queues.append(queue)
        return queues

    assert measure_kept(fill)[1] < 2 * READ_SIZE


class SlowStream(trio.abc.Stream):
    """Takes each write only after a step of the test, and keeps what it has taken."""

    def __init__(self) -> None:
        self.writes: list[bytes] = []

    async def send_all(self, data: bytes | bytearray | memoryview) -> None:
        await trio.lowlevel.checkpoint()
        self.writes.append(bytes(data))

    async def receive_some(self, max_bytes: int | None = None) -> bytes:
        raise NotImplementedError

    async def wait_send_all_might_not_block(self) -> None:
        await trio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        await trio.lowlevel.checkpoint()


@given(st.lists(st.binary(max_size=50_000), max_size=12))
def test_output_is_written_unchanged_and_in_order(parts: list[bytes]) -> None:
    async def main() -> None:
        queue = WriteQueue()
        stream = SlowStream()
        async with trio.open_nursery() as nursery:
            queue.put(parts[:6])
            nursery.start_soon(queue.write_all, stream)
            await trio.lowlevel.checkpoint()
            queue.put(parts[6:])
        await queue.write_all(stream)
        assert b"".join(stream.writes) == b"".join(parts)
        assert queue.pending_bytes == 0
        assert all(len(write) <= READ_SIZE for write in stream.writes)

    trio.run(main)


# Guards against lists that come in pieces of 4 bytes: each was kept as 56 until the object was complete.
def test_an_object_of_the_endpoint_list_in_small_pieces_takes_memory_by_its_length() -> None:
    begin = b'{"a":"' + b"x" * 400_000

    def feed() -> JsonObjectSplitter:
        splitter = JsonObjectSplitter()
        for start in range(0, len(begin), 4):
            list(splitter.feed(begin[start : start + 4]))
        return splitter

    assert measure_kept(feed)[1] < MAX_OVERHEAD * len(begin)


def test_an_event_in_small_pieces_takes_memory_by_its_length() -> None:
    begin = b"data: " + b"x" * 200_000

    def feed() -> EventSplitter:
        splitter = EventSplitter()
        for start in range(0, len(begin), 4):
            assert not list(splitter.feed(memoryview(begin[start : start + 4])))
        return splitter

    assert measure_kept(feed)[1] < MAX_OVERHEAD * len(begin)


def processor_s(splitter: EventSplitter, data: bytes, piece: int) -> float:
    """Returns the processor time to split data that comes in pieces."""
    view = memoryview(data)
    began_s = time.thread_time()
    for start in range(0, len(data), piece):
        list(splitter.feed(view[start : start + piece]))
    return time.thread_time() - began_s


# Guards against pieces that stop the loop: each copied and searched all of its event again, 7.5 s in all.
def test_an_event_in_small_pieces_is_copied_and_searched_once() -> None:
    assert processor_s(EventSplitter(), b"data: " + b"x" * 200_000, 4) < 1.5


# Guards against reads of many small events: for each, all of the rest was searched for CRLF line ends.
def test_each_byte_of_small_events_is_searched_once() -> None:
    assert processor_s(EventSplitter(), b"data: 12345\n\n" * 50_000, READ_SIZE) < 0.35


@given(
    st.lists(
        st.sampled_from([b"data: x", b": c", b"id: 1\r\ndata: y", b"event: e\ndata:\ndata: z"]), max_size=9
    ),
    st.lists(st.sampled_from([b"\n\n", b"\r\n\r\n"]), min_size=9, max_size=9),
    st.integers(1, 30),
)
def test_events_are_split_in_any_pieces(bodies: list[bytes], ends: list[bytes], piece: int) -> None:
    events = [body + end for body, end in zip(bodies, ends, strict=False)]
    sent = b"".join(events) + b"data: incompl"
    splitter = EventSplitter()
    received: list[bytes] = []
    for start in range(0, len(sent), piece):
        received += map(bytes, splitter.feed(memoryview(sent[start : start + piece])))
    assert received == events
    assert splitter.end() == b"data: incompl"


# Guards against answers of many small events: decoded, each was kept as some twenty times its length.
def test_a_chat_answer_in_small_events_takes_memory_by_its_counted_size() -> None:
    def collect() -> Completion:
        completion = Completion("c", "m", 1)
        for _ in range(10_000):
            completion.add(read_event(memoryview(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n')))
        return completion

    completion, size = measure_kept(collect)
    assert size < MAX_OVERHEAD * completion.size
    assert completion.complete()["choices"][0]["message"]["content"] == "a" * 10_000
    again = Completion.from_record(completion.record())
    assert (again.complete(), again.size) == (completion.complete(), completion.size)


# Guards against requests that come byte by byte behind an answer: each 20 ms kept the time of one more read.
def test_the_times_of_reads_behind_a_request_are_limited() -> None:
    def read() -> ReadTimes:
        times = ReadTimes()
        for n in range(10_000):
            times.add(1, n * 0.1, behind_request=True)
        return times

    times, size = measure_kept(read)
    assert size < READ_SIZE
    last_read_at = times.last_byte_read_at(0)
    assert last_read_at is not None
    assert last_read_at <= 9_999 * 0.1  # it may count as earlier, never as later
