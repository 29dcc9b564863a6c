"""Tests of the structured logs."""

import io
import json
import logging
import os
import unittest

import logbook
from hypothesis import given
from hypothesis import strategies as st

from ..errors import BackendError, Outcome
from ..events import Event
from ..logs import (
    IDENTIFIER_FIELDS,
    MAX_LINE_BYTES,
    REDACTED,
    REPEAT_WINDOW_S,
    REPEATS_PER_WINDOW,
    REQUEST_LINES_BURST,
    JsonLinesHandler,
    configure_logging,
    filter_fields,
    log,
)
from .document_strategies import DETERMINISTIC


class LogTest(unittest.TestCase):
    def setUp(self):
        self.now_s = 0.0
        self.stream = io.StringIO()
        self.handler = JsonLinesHandler(
            self.stream, "n1", "info", clock=lambda: self.now_s
        )

    def lines(self) -> list[dict]:
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_line(self):
        """Guards against malformed lines, and fields that overwrite common ones."""
        with self.handler.applicationbound():
            log(Event.CONFIG_APPLIED, version=7, node="other")
            log(Event.REQUEST_FINISHED, request="r1")
        (line,) = self.lines()
        self.assertTrue(line.pop("time").endswith("+00:00"))
        self.assertEqual(
            line,
            {
                "level": "info",
                "event": "PR1101",
                "text": "configuration applied",
                "node": "n1",
                "version": 7,
            },
        )

    def test_repeats_are_limited_by_subject(self):
        """Guards against a log flooded by one failing server, or that hides others."""
        with self.handler.applicationbound():
            for _ in range(1000):
                log(Event.CIRCUIT_OPENED, backend="e1")
            log(Event.CIRCUIT_OPENED, backend="e2")
            self.assertEqual(len(self.lines()), REPEATS_PER_WINDOW + 1)
            self.now_s += REPEAT_WINDOW_S
            log(Event.CIRCUIT_OPENED, backend="e1")
        last = self.lines()[-1]
        self.assertEqual(last["suppressed"], 1000 - REPEATS_PER_WINDOW)

    def test_repeats_with_other_messages_are_limited(self):
        """Guards against a limiter that different error messages evade."""
        with self.handler.applicationbound():
            for number in range(1000):
                error = BackendError(f"r{number}", step="stream", peer="e1")
                log(Event.REQUEST_FAILED, error=error)
        self.assertEqual(len(self.lines()), REPEATS_PER_WINDOW)

    def test_lines_of_requests_are_limited(self):
        """Guards against a flood of failed requests and against unreported drops."""
        with self.handler.applicationbound():
            for number in range(1000):
                log(Event.REQUEST_FAILED, request=f"r{number}")
            self.assertEqual(len(self.lines()), REQUEST_LINES_BURST)
            self.now_s += 1.0
            log(Event.REQUEST_FAILED, request="last")
        dropped, last = self.lines()[-2:]
        self.assertEqual(dropped["lines_count"], 1000 - REQUEST_LINES_BURST)
        self.assertEqual(last["request"], "last")

    def test_each_request_has_its_lines(self):
        """Guards against suppressing the last line of a request as a repeat."""
        with self.handler.applicationbound():
            for number in range(50):
                log(Event.REQUEST_FAILED, request=f"r{number}", kind="k")
        self.assertEqual(len({line["request"] for line in self.lines()}), 50)

    def test_error_message_is_withheld(self):
        """Guards against logging an answer that an error message contains."""
        error = BackendError(
            "engine said: the horse Bella has caries",
            step="stream",
            peer="engine-1",
            outcome=Outcome.UNKNOWN,
        )
        with self.handler.applicationbound():
            log(Event.REQUEST_FAILED, error=error, member="dentists")
        (line,) = self.lines()
        self.assertNotIn("Bella", self.stream.getvalue())
        self.assertEqual(line["error"], "BackendError")
        self.assertEqual(line["outcome"], "unknown")
        self.assertEqual(line["peer"], "engine-1")

    @DETERMINISTIC
    @given(
        st.sampled_from([*sorted(IDENTIFIER_FIELDS), "count", "wait_s", "key", "body"]),
        st.sampled_from(["{} two words", "Bearer {}", "{}\nline", "ž{}", "{}" * 200]),
        st.text(max_size=40),
    )
    def test_text_is_withheld(self, name, form, text):
        """Guards against logging a prompt, answer or key under any field name."""
        value = form.replace("{}", text or "x")
        for sent in (value, value.encode(), [value], {"text": value}):
            (kept,) = filter_fields({name: sent}).values()
            self.assertIn(kept, (REDACTED, 1))

    def test_several_identifiers(self):
        """Guards against logging a prompt inside a tuple of identifiers."""
        fields = filter_fields({"helpers": ("e1", "two words"), "peer": ("x",) * 99})
        self.assertEqual(fields, {"helpers": ["e1", REDACTED], "peer": REDACTED})

    def test_unlisted_names_are_withheld(self):
        """Guards against logging fields outside the allow-list."""
        fields = {"api_key": "k1", "prompt": "x", "idempotency_key": 5, "status": 200}
        self.assertEqual(filter_fields(fields), {"status": 200, "withheld_count": 3})

    def test_other_records_carry_no_text(self):
        """Guards against logging messages of libraries, which may contain bodies."""
        handler = configure_logging("n1", "info", self.stream)
        self.addCleanup(setattr, logging.getLogger(), "handlers", [])
        try:
            logging.getLogger("urllib3").warning("prompt %s", "secret")
            logbook.Logger("other").error("secret")
        finally:
            handler.pop_application()
        self.assertNotIn("secret", self.stream.getvalue())
        channels = [line["channel"] for line in self.lines()]
        self.assertEqual(channels, ["urllib3", "other"])

    def test_full_pipe_loses_lines_and_counts_them(self):
        """Guards against an event loop blocked by a log pipe that nobody reads."""
        read_end, write_end = os.pipe()
        self.addCleanup(os.close, read_end)
        with open(write_end, "w") as stream:
            handler = JsonLinesHandler(stream, "n1", "info", clock=lambda: self.now_s)
            with handler.applicationbound():
                while not handler.lost_lines:
                    self.now_s += REPEAT_WINDOW_S
                    log(Event.NODE_READY, node="n1")
                log(Event.NODE_READY, peer="n2")
                self.assertEqual(handler.lost_lines, 2)
                while os.read(read_end, MAX_LINE_BYTES).count(b"\n") > 10:
                    pass
                log(Event.NODE_READY, peer="n3")
        tail = b""
        while data := os.read(read_end, MAX_LINE_BYTES):
            tail += data
        lost, last = (json.loads(line) for line in tail.splitlines()[-2:])
        self.assertEqual((lost["event"], lost["lines_count"]), ("PR1902", 2))
        self.assertEqual(last["peer"], "n3")

    def test_long_line(self):
        """Guards against a line over PIPE_BUF, which is not written atomically."""
        fields = {f"x{index}_s": 1.0 for index in range(500)}
        with self.handler.applicationbound():
            log(Event.NODE_READY, **fields)
        self.assertLessEqual(len(self.stream.getvalue()), MAX_LINE_BYTES)
        self.assertEqual(self.lines()[0]["withheld_count"], 500)
