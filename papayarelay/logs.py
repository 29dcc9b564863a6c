"""Structured logging as JSON lines, built on logbook.

A line contains only numbers and short identifiers in the fields allowed here,
so that no key, prompt or answer is ever written.  A value sent by a caller may
be logged only after it was found in the configuration.
"""

from __future__ import annotations

import datetime
import errno
import logging
import os
import re
import select
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import IO

import logbook
import msgspec
from gevent.monkey import get_original

from .bucket import TokenBucket
from .errors import Outcome, RelayError, SettingsError
from .events import Event

IDENTIFIER_FIELDS = frozenset(
    {
        "address",
        "backend",
        "backends",
        "channel",
        "data_centre",
        "digest",
        "editor",
        "from_next_start",
        "from_state",
        "helpers",
        "host",
        "kind",
        "member",
        "model",
        "node",
        "organisation",
        "outcome",
        "path",
        "peer",
        "peers",
        "policy",
        "reason",
        "region",
        "request",
        "section",
        "segment",
        "segments",
        "service",
        "signal",
        "state",
        "step",
        "taken",
        "target",
        "task",
        "url",
    }
)
NUMBER_FIELDS = frozenset(
    {
        "attempt",
        "config_version",
        "count",
        "era",
        "number",
        "pid",
        "port",
        "received",
        "status",
        "suppressed",
        "version",
    }
)
NUMBER_SUFFIXES = ("_s", "_ms", "_bytes", "_tokens", "_count", "_per_s", "_ratio")
# Identifiers contain no spaces, unlike prompts and answers.
IDENTIFIER_PATTERN = re.compile(r"[A-Za-z0-9_.:/@<>\[\]+-]{0,128}", re.ASCII)
REDACTED = "<withheld>"
MAX_IDENTIFIERS = 20
# PIPE_BUF: a pipe that poll reports as writable takes this many bytes without
# blocking.
MAX_LINE_BYTES = 4096
# Rate limit of lines with a request field.
REQUEST_LINES_PER_S = 200.0
REQUEST_LINES_BURST = 400
REPEAT_WINDOW_S = 10.0
REPEATS_PER_WINDOW = 5
MAX_REPEAT_KEYS = 1024
REPEAT_FIELDS = (
    "backend",
    "peer",
    "reason",
    "member",
    "kind",
    "section",
    "segment",
    "task",
    "error",
    "code",
    "path",
)

_logger = logbook.Logger("papayarelay")
# gevent's poll would switch to another greenlet while a line is written.
_poll = get_original("select", "poll")


def log(event: Event, **fields: object) -> None:
    """Log an event; an exception may be passed as the field ``error``."""
    level = logbook.lookup_level(event.level.upper())
    _logger.log(level, event.text, extra={"event": event, "fields": fields})


def filter_fields(fields: Mapping[str, object]) -> dict[str, object]:
    """Return the fields that may be logged.

    An exception is replaced by its class, code, step, peer and outcome, because
    its message may contain text of a caller or backend server.  Other invalid
    values are redacted, and fields with unlisted names are dropped and counted in
    ``withheld_count``.
    """
    kept: dict[str, object] = {}
    unlisted = 0
    for name, value in fields.items():
        if isinstance(value, BaseException):
            kept |= _describe_error(value)
        elif name in IDENTIFIER_FIELDS:
            kept[name] = _filter_identifier(value)
        elif name in NUMBER_FIELDS or name.endswith(NUMBER_SUFFIXES):
            number = isinstance(value, int | float)
            if value is not None:
                kept[name] = value if number else REDACTED
        else:
            unlisted += 1
    if unlisted:
        kept["withheld_count"] = unlisted
    return kept


def _filter_identifier(value: object) -> object:
    if isinstance(value, tuple) and len(value) <= MAX_IDENTIFIERS:
        return [_filter_identifier(each) for each in value]
    if value is None or isinstance(value, bool | int | float):
        return value
    if isinstance(value, Outcome):
        return value.value
    if isinstance(value, str) and IDENTIFIER_PATTERN.fullmatch(value):
        return value
    return REDACTED


def _describe_error(error: BaseException) -> dict[str, object]:
    described: dict[str, object] = {"error": type(error).__name__}
    if isinstance(error, SettingsError):
        described["path"] = _filter_identifier(error.path)
        described["allowed"] = error.allowed
    elif isinstance(error, RelayError):
        described["code"] = error.code
        described["step"] = _filter_identifier(error.step)
        described["peer"] = _filter_identifier(error.peer)
        described["outcome"] = error.outcome.value
    elif isinstance(error, OSError) and error.errno:
        described["errno"] = errno.errorcode.get(error.errno, error.errno)
    return described


@dataclass
class _RepeatWindow:
    started_s: float
    written: int = 0
    suppressed: int = 0


class RepeatLimiter:
    """Limits how often an event is logged with the same values in REPEAT_FIELDS.

    Lines about requests have a common rate limit instead, so that each request
    can be traced.
    """

    def __init__(self):
        self._repeats: dict[tuple, _RepeatWindow] = {}

    def admit(
        self, event: Event, fields: Mapping[str, object], now_s: float
    ) -> int | None:
        """Return how many lines were suppressed before this one.

        ``fields`` are already filtered.  Returns None if this line is to be
        suppressed too.
        """
        subject = tuple(fields.get(name) for name in REPEAT_FIELDS)
        key = (event, *subject)
        repeats = self._repeats.get(key)
        if repeats is None or now_s - repeats.started_s >= REPEAT_WINDOW_S:
            suppressed = repeats.suppressed if repeats else 0
            self._repeats.pop(key, None)
            self._repeats[key] = _RepeatWindow(now_s, written=1)
            if len(self._repeats) > MAX_REPEAT_KEYS:
                self._repeats.pop(next(iter(self._repeats)))
            return suppressed
        if repeats.written < REPEATS_PER_WINDOW:
            repeats.written += 1
            return 0
        repeats.suppressed += 1
        return None


class JsonLinesHandler(logbook.Handler):
    """Writes events as JSON lines without blocking the event loop.

    Lines are discarded and counted while the pipe is full.
    """

    def __init__(
        self,
        stream: IO[str],
        node: str,
        level: str = "info",
        clock: Callable[[], float] = time.monotonic,
    ):
        super().__init__(level=level.upper(), bubble=False)
        self.lost_lines = 0
        self.dropped_lines = 0
        self._stream = stream
        self._node = node
        self._clock = clock
        self._limiter = RepeatLimiter()
        self._request_lines = TokenBucket(REQUEST_LINES_PER_S, REQUEST_LINES_BURST)
        self._encoder = msgspec.json.Encoder()

    def emit(self, record: logbook.LogRecord) -> None:
        """Write the line of a record unless a rate limit suppresses it."""
        event = record.extra.get("event")
        if not isinstance(event, Event):
            event = Event.LIBRARY_MESSAGE
            fields: Mapping[str, object] = {"channel": record.channel}
        else:
            fields = record.extra.get("fields", {})
        kept = filter_fields(fields)
        now_s = self._clock()
        if "request" in kept:
            if not self._request_lines.take(now_s):
                self.dropped_lines += 1
                return
            self._report_dropped()
        else:
            suppressed = self._limiter.admit(event, kept, now_s)
            if suppressed is None:
                return
            if suppressed:
                kept["suppressed"] = suppressed
        if self.lost_lines and self._write(
            Event.LINES_LOST, {"lines_count": self.lost_lines}
        ):
            self.lost_lines = 0
        if not self._write(event, kept):
            self.lost_lines += 1

    def _report_dropped(self) -> None:
        dropped, self.dropped_lines = self.dropped_lines, 0
        if dropped:
            self._write(Event.LINES_DROPPED, {"lines_count": dropped})

    def _write(self, event: Event, fields: Mapping[str, object]) -> bool:
        """Write one line; return whether it was written in full."""
        line = self._encode(event, fields)
        if len(line) > MAX_LINE_BYTES:
            line = self._encode(event, {"withheld_count": len(fields)})
        try:
            fd = self._stream.fileno()
        except (AttributeError, OSError):
            self._stream.write(line.decode())
            return True
        try:
            return _is_writable(fd) and os.write(fd, line) == len(line)
        except OSError:
            return False

    def _encode(self, event: Event, fields: Mapping[str, object]) -> bytes:
        now = datetime.datetime.now(datetime.UTC)
        common = {
            "time": now.isoformat(timespec="milliseconds"),
            "level": event.level,
            "event": event.id,
            "text": event.text,
            "node": self._node,
        }
        return self._encoder.encode({**common, **fields, **common}) + b"\n"


class _LibraryHandler(logging.Handler):
    """Logs warnings from the standard ``logging`` module as events."""

    def emit(self, record: logging.LogRecord) -> None:
        log(Event.LIBRARY_MESSAGE, channel=record.name)


def configure_logging(
    node: str, level: str = "info", stream: IO[str] | None = None
) -> JsonLinesHandler:
    """Log as JSON lines to a stream, by default standard error.

    Returns the installed handler; ``pop_application`` removes it.
    """
    handler = JsonLinesHandler(stream or sys.stderr, node, level)
    handler.push_application()
    logging.getLogger().handlers = [_LibraryHandler(level=logging.WARNING)]
    return handler


def _is_writable(fd: int) -> bool:
    poll = _poll()
    poll.register(fd, select.POLLOUT)
    return any(state & select.POLLOUT for _, state in poll.poll(0))
