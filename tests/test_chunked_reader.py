"""Joined chunks: the same body and the same errors as h11's reader gives, for less work."""

from __future__ import annotations

import h11
import pytest
from h11._readers import ChunkedReader
from hypothesis import example, given
from hypothesis import strategies as st

from tests.executed_lines import count_lines
from violetstack.protocol import chunked_reader
from violetstack.protocol.chunked_reader import MAX_JOINED_CHUNKS
from violetstack.protocol.http_client import HttpClientConnection, InvalidResponseError, ResponseData
from violetstack.protocol.http_server import HttpServerConnection, InvalidRequestError

HEAD = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SMALL_CHUNK = b"4\r\nword\r\n"
EXTENSIONS = st.sampled_from([b"", b"", b"", b";a=b", b" ", b"\t ", b";", b'; x="y z"', b"\r", b" x", b";\r"])
SIZES = st.sampled_from([b"%x", b"%X", b"%04x", b"%020x", b"%021x", b"+%x", b"0x%x", b"%x_0", b" %x"])
CHUNKS = st.tuples(
    st.binary(min_size=1, max_size=40), SIZES, EXTENSIONS, st.sampled_from([b"\r\n"] * 9 + [b"\n"])
)
ENDS = st.sampled_from(
    [b"0\r\n\r\n", b"0\r\nA: b\r\n\r\n", b"00;x\r\n\r\n", b"zz\r\n", b"0\r\nno colon\r\n\r\n", b""]
)


def encode(chunk: tuple[bytes, bytes, bytes, bytes]) -> bytes:
    data, size, extension, line_end = chunk
    return size % len(data) + extension + line_end + data + line_end


def parse_with_h11(sent: bytes, pieces: int) -> tuple[bytes, str]:
    connection = h11.Connection(h11.SERVER)
    body = b""
    for start in range(0, len(sent), pieces):
        connection.receive_data(sent[start : start + pieces])
        try:
            while (event := connection.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    return body, "complete"
        except h11.RemoteProtocolError:
            return body, "invalid"
    return body, "incomplete"


def parse_joined(sent: bytes, pieces: int) -> tuple[bytes, str]:
    connection = HttpServerConnection()
    for start in range(0, len(sent), pieces):
        connection.feed(sent[start : start + pieces])
        try:
            request = connection.next_request()
            while request is None and connection.input_pending:
                request = connection.next_request()
        except InvalidRequestError:
            return bytes(connection._body), "invalid"
        if request is not None:
            return bytes(request.body), "complete"
    return bytes(connection._body), "incomplete"


@given(st.lists(CHUNKS, max_size=8), ENDS, st.integers(1, 60))
@example([(b"word", b"%x", b"", b"\r\n")] * 8, b"0\r\n\r\n", 1)
def test_any_chunks_in_any_pieces_give_what_h11_gives(
    chunks: list[tuple[bytes, bytes, bytes, bytes]], end: bytes, pieces: int
) -> None:
    sent = HEAD + b"".join(map(encode, chunks)) + end
    expected = parse_with_h11(sent, pieces)
    joined = parse_joined(sent, pieces)
    if joined[1] == "invalid" and expected[1] == "incomplete":
        # h11 reports an invalid chunk size only once its line is complete.
        expected = parse_with_h11(sent + b"\r\n", pieces)
    assert joined == expected


@pytest.mark.parametrize(
    "header",
    [
        b"40001\r\n",
        b"40001",
        b"c0000000",
        b"ffffffffffffffff0",
        b"0" * 21,
        b"zz",
        b"-5",
        b"5\n",
        b"5 x",
        b"5;" + b"x" * 1100,
    ],
)
def test_a_chunk_header_that_cannot_be_valid_is_an_error_before_its_line_ends(header: bytes) -> None:
    connection = HttpClientConnection()
    connection.request("POST", "/", [("Host", "x")])
    connection.feed(RESPONSE_HEAD + SMALL_CHUNK)
    with pytest.raises(InvalidResponseError):
        connection.feed(header)


def test_a_client_is_told_at_once_that_its_chunk_is_larger_than_a_body_may_be() -> None:
    connection = HttpServerConnection()
    connection.feed(HEAD + SMALL_CHUNK + b"c0000000\r\n")
    with pytest.raises(InvalidRequestError) as error:
        connection.next_request()
    assert error.value.status == 413


@pytest.mark.parametrize("header", [b"40000\r\n", b"00000000000000004\r\n", b"4 \t", b"4;a=b"])
def test_a_chunk_header_up_to_the_limit_is_accepted(header: bytes) -> None:
    connection = HttpClientConnection()
    connection.request("POST", "/", [("Host", "x")])
    connection.feed(RESPONSE_HEAD + SMALL_CHUNK)
    for byte in range(len(header)):
        connection.feed(header[byte : byte + 1])
    connection.check()


def lines_to_parse(chunks: int) -> int:
    connection = HttpServerConnection()
    connection.feed(HEAD)
    connection.next_request()
    connection.feed(SMALL_CHUNK * chunks)
    return count_lines(connection.next_request)


# Guards against clients with small chunks that keep the processor busy: each chunk was an event of h11.
def test_a_small_chunk_costs_a_few_lines() -> None:
    fixed = lines_to_parse(1)
    assert (lines_to_parse(101) - fixed) / 100 < 12


# Guards against a read of 32 KiB that is parsed for 40 ms in one step, while no other connection is served.
@pytest.mark.parametrize(
    "chunk", [SMALL_CHUNK, b"1 \r\na\r\n", b"1;b=c\r\na\r\n"], ids=["plain", "space", "extension"]
)
def test_one_call_parses_a_limited_number_of_chunks(chunk: bytes) -> None:
    connection = HttpServerConnection()
    connection.feed(HEAD + chunk * 3000)
    lines = []
    calls = 0
    while calls == 0 or connection.input_pending:
        lines.append(count_lines(connection.next_request))
        calls += 1
    assert max(lines) < 15 * MAX_JOINED_CHUNKS
    assert calls > 3000 // MAX_JOINED_CHUNKS
    assert connection.size == 3000 * (4 if chunk is SMALL_CHUNK else 1)


def test_the_small_chunks_of_a_response_are_joined() -> None:
    connection = HttpClientConnection()
    connection.request("POST", "/", [("Host", "x")])
    events = connection.feed(RESPONSE_HEAD + SMALL_CHUNK * 100)
    data = [event.data for event in events if isinstance(event, ResponseData)]
    assert b"".join(data) == b"word" * 100
    assert len(data) == 1
    assert connection.between_chunks


@pytest.mark.parametrize("received", range(len(SMALL_CHUNK) + 1))
def test_a_response_can_be_handed_over_only_between_chunks(received: int) -> None:
    connection = HttpClientConnection()
    connection.request("POST", "/", [("Host", "x")])
    connection.feed(RESPONSE_HEAD + SMALL_CHUNK * 3 + SMALL_CHUNK[:received])
    assert connection.between_chunks == (received in (0, len(SMALL_CHUNK)))


def test_only_chunked_messages_are_read_in_this_way() -> None:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\n")
    connection.next_event()
    reader = connection._reader
    chunked_reader.join_chunks(connection, max_chunk_bytes=4)
    assert connection._reader is reader
    assert not isinstance(reader, ChunkedReader)
