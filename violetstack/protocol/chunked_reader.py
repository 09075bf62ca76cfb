"""Reads the chunked transfer coding (RFC 9112, 7.1) and joins small chunks.

h11 returns each chunk as an event of its own, which costs about 8 us and a buffer. A sender may choose chunks
of one byte, so this reader returns the complete chunks that have been received as one event.
"""

from __future__ import annotations

import re

import h11
from h11._readers import ChunkedReader
from h11._receivebuffer import ReceiveBuffer

MAX_JOINED_CHUNKS = 512
"""Chunks of one event; bounds the time for which no other connection is served."""
MAX_SIZE_DIGITS = 8
"""A longer chunk size is left to h11."""
CHUNK_HEADER = re.compile(rb"([0-9A-Fa-f]{1,%d})(?:;[^\r\n]*)?\r\n" % MAX_SIZE_DIGITS)
LINE_END = b"\r\n"


class JoiningChunkedReader(ChunkedReader):
    """Reads as h11's reader does, but joins complete chunks.

    h11's reader handles all else: parts of a chunk, the last chunk, trailers and invalid bytes.

    Attributes:
        limited: Whether the last event ended at MAX_JOINED_CHUNKS, so that more input may be complete.
    """

    def __init__(self) -> None:
        """Creates a reader that expects the first chunk."""
        super().__init__()
        self.limited = False

    def __call__(self, buf: ReceiveBuffer) -> h11.Data | h11.EndOfMessage | None:
        """Returns the next event; None if more bytes are needed."""
        self.limited = False
        if not self._bytes_in_chunk and not self._reading_trailer:
            joined = self._join_chunks(buf)
            if joined:
                return h11.Data(data=joined, chunk_start=True, chunk_end=True)  # type: ignore[arg-type]
        return super().__call__(buf)

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


def join_chunks(connection: h11.Connection) -> None:
    """Makes a connection read its message in this way if it is chunked; called after its head was parsed."""
    if type(connection._reader) is ChunkedReader:
        connection._reader = JoiningChunkedReader()


def input_pending(connection: h11.Connection) -> bool:
    """Whether the last event ended at the limit on joined chunks."""
    reader = connection._reader
    return isinstance(reader, JoiningChunkedReader) and reader.limited
