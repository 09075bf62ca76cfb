"""Reads the chunked transfer coding (RFC 9112, 7.1), joins small chunks and limits their size.

h11 returns each chunk as an event of its own, which costs about 8 us and a buffer. A sender may choose chunks
of one byte, so this reader returns the complete chunks that have been received as one event.

A chunk size is checked as its digits arrive. A message whose next chunk is larger than a whole message may be
is malformed from then on, however sound the data in that chunk looks.
"""

from __future__ import annotations

import re
from http import HTTPStatus

import h11
from h11._readers import ChunkedReader
from h11._receivebuffer import ReceiveBuffer

MAX_JOINED_CHUNKS = 512
"""Chunks of one event; bounds the time for which no other connection is served."""
MAX_REPORTED_BYTES = 40
"""Of invalid bytes, in an error message."""
MAX_SIZE_DIGITS = 8
"""A longer chunk size is left to h11."""
CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,%d})(?:;[^\r\n]*)?\r\n" % MAX_SIZE_DIGITS)
CHUNK_HEADER_PART = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;(?:[^\r\n]|\r(?!\n))*|[ \t]*)(\r\n?)?")
"""A chunk header or its beginning, as h11 accepts it."""
MAX_CHUNK_HEADER_BYTES = 1024
"""Limit for a chunk size with its extensions; h11 alone would wait for the end of 16 KiB."""
LINE_END = b"\r\n"


class JoiningChunkedReader(ChunkedReader):
    """Reads as h11's reader does, but joins complete chunks, and checks a chunk header before it is complete.

    h11's reader handles all else: parts of a chunk, the last chunk, trailers and other invalid bytes.

    Attributes:
        limited: Whether the last event ended at MAX_JOINED_CHUNKS, so that more input may be complete.
    """

    def __init__(self, max_chunk_bytes: int) -> None:
        """Creates a reader that expects the first chunk, and rejects chunks over `max_chunk_bytes`."""
        super().__init__()
        self._max_chunk_bytes = max_chunk_bytes
        self.limited = False

    def __call__(self, buf: ReceiveBuffer) -> h11.Data | h11.EndOfMessage | None:
        """Returns the next event; None if more bytes are needed."""
        self.limited = False
        if not self._bytes_in_chunk and not self._reading_trailer:
            joined = self._join_chunks(buf)
            if joined:
                return h11.Data(data=joined, chunk_start=True, chunk_end=True)  # type: ignore[arg-type]
            self._check_header(buf)
        return super().__call__(buf)

    def _check_header(self, buf: ReceiveBuffer) -> None:
        """Checks what has been received of the next chunk header.

        Raises:
            h11.LocalProtocolError: It is no chunk header, or it states a size over the limit. h11 reports it
                as an error of the sender.
        """
        start = len(self._bytes_to_discard)
        received = bytes(buf._data[start : start + MAX_CHUNK_HEADER_BYTES + 1])
        if not received or not buf._data.startswith(self._bytes_to_discard):
            return
        header = CHUNK_HEADER_PART.match(received)
        if header is None or (header[2] != LINE_END and header.end() != len(received)):
            raise h11.LocalProtocolError(f"illegal chunk header: {received[:MAX_REPORTED_BYTES]!r}")
        if int(header[1], 16) > self._max_chunk_bytes:
            raise h11.LocalProtocolError(
                f"chunk size 0x{header[1].decode()} exceeds {self._max_chunk_bytes} bytes",
                error_status_hint=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
            )
        if header.end() > MAX_CHUNK_HEADER_BYTES:
            raise h11.LocalProtocolError(f"chunk header exceeds {MAX_CHUNK_HEADER_BYTES} bytes")

    def _join_chunks(self, buf: ReceiveBuffer) -> bytearray:
        """Takes complete chunks from the buffer, and the line end of an earlier one; returns their data."""
        received = buf._data
        pending = self._bytes_to_discard
        joined = bytearray()
        if not received.startswith(pending):
            return joined
        chunk_start = len(pending)
        for _ in range(MAX_JOINED_CHUNKS):
            header = CHUNK_HEADER.match(received, chunk_start)
            if header is None:
                break
            data_start = header.end()
            data_end = data_start + int(header[1], 16)
            if data_end - data_start > self._max_chunk_bytes:
                break
            if data_end == data_start or received[data_end : data_end + 2] != LINE_END:
                break
            joined += received[data_start:data_end]
            chunk_start = data_end + len(LINE_END)
        else:
            self.limited = True
        if joined:
            buf._extract(chunk_start)
            self._bytes_to_discard = b""
        return joined


def join_chunks(connection: h11.Connection, max_chunk_bytes: int) -> None:
    """Makes a connection read its message in this way if it is chunked; called after its head was parsed."""
    if type(connection._reader) is ChunkedReader:
        connection._reader = JoiningChunkedReader(max_chunk_bytes)


def input_pending(connection: h11.Connection) -> bool:
    """Whether the last event ended at the limit on joined chunks."""
    reader = connection._reader
    return isinstance(reader, JoiningChunkedReader) and reader.limited
