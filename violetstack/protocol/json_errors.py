"""The errors with which msgspec refuses JSON that another party has sent."""

from __future__ import annotations

import msgspec

DECODE_ERRORS: tuple[type[Exception], ...] = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
"""Invalid JSON, or of another form; text that is not UTF-8; arrays and objects that nest too deeply."""
