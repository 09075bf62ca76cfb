"""The exceptions that msgspec raises when it decodes JSON from clients, hosts and peers."""

from __future__ import annotations

import msgspec

DECODE_ERRORS: tuple[type[Exception], ...] = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Raised for invalid JSON or JSON of another schema, for text that is not UTF-8, and for too deep nesting."""
