"""Errors of decoding data that other processes have written."""

from __future__ import annotations

import msgspec

# A decoder gives up on deeply nested data with a RecursionError.
DECODE_ERRORS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)
