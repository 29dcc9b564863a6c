"""Tests of tracing a request through logs."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from ..errors import BackendError, Outcome
from ..events import Event
from ..logs import JsonLinesHandler, log
from ..operators.explain import parse_line, trace_request
from ..program import main


def log_lines(node: str, *lines: tuple) -> list[str]:
    """Return the lines that a node writes for (event, fields)."""
    stream = io.StringIO()
    with JsonLinesHandler(stream, node, "debug").applicationbound():
        for event, fields in lines:
            log(event, **fields)
    return stream.getvalue().splitlines()


ERROR = BackendError(
    "connection failed", step="connect", peer="e1", outcome=Outcome.NOT_RUN
)


class ExplainTest(unittest.TestCase):
    """Guards against a failed request whose cause the logs don't show."""

    def setUp(self):
        self.lines = log_lines(
            "n1",
            (Event.BACKEND_STATE, {"backend": "e1", "state": "ready", "version": 4}),
            (Event.BACKEND_STATE, {"backend": "e9", "state": "ready", "version": 4}),
            (Event.REQUEST_ADMITTED, {"request": "r1", "config_age_s": 0.4}),
            (Event.REQUEST_PLACED, {"request": "r1", "backend": "e1"}),
            (
                Event.ATTEMPT_FAILED,
                {"request": "r1", "backend": "e1", "reason": "hang", "error": ERROR},
            ),
            (Event.RETRY_DENIED, {"request": "r1", "reason": "budget"}),
            (Event.REQUEST_ADMITTED, {"request": "r2"}),
            (Event.REQUEST_FAILED, {"request": "r1", "error": ERROR}),
        )

    def test_suspicion(self):
        """Guards against a rejected request whose crashes and nodes are not told."""
        found = {"segment": "5a", "crashes_count": 3, "age_s": 1.5}
        found |= {"backends": ("e4", "e7"), "peers": ("n2", "n3")}
        other = {**found, "segment": "5b"}
        lines = log_lines(
            "n1",
            (Event.REQUEST_ADMITTED, {"request": "r3", "segments": ("5a", "60")}),
            (Event.SEGMENT_HARMFUL, found),
            (Event.SEGMENT_HARMFUL, other),
            (Event.REQUEST_HARMFUL, {"request": "r3", **found}),
        )
        trace = trace_request("r3", [*self.lines, *lines])
        (text,) = trace.suspicions
        for value in ("rejected", "5a", "1.5", "3 crashes", "e4, e7", "n2, n3"):
            self.assertIn(value, text)
        verdicts = [line for line in trace.context_lines if line.event == "PR1222"]
        self.assertEqual([line.fields["segment"] for line in verdicts], ["5a"])

    def test_held_back(self):
        """Guards against a request that waits or is refused without a known reason."""
        fields = {"limit_per_s": 1.2, "limit_age_s": 3.5, "reason": "n4", "peer": "n5"}
        fields |= {"issued_per_s": 0.6, "next_free_s": 1.4, "permits_count": 0}
        held = {"request": "r1", "backend": "e1", **fields}
        lines = log_lines("n1", (Event.REQUEST_HELD_BACK, held))
        (text,) = trace_request("r1", [*self.lines, *lines]).held_back
        for value in ("e1", "1.2", "3.5", "n4", "n5", "0.6", "1.4"):
            self.assertIn(value, text)

    def test_trace(self):
        """Guards against unrelated lines in a trace, and against missing ones."""
        other = log_lines("n2", (Event.STORE_BACK, {}))
        noise = ["", "Traceback {", '{"a": 1}', "[]", "{}"]
        trace = trace_request("r1", [*noise, *other, *self.lines])
        self.assertEqual(
            [line.event for line in trace.lines],
            ["PR1306", "PR1307", "PR1308", "PR1311", "PR1302"],
        )
        self.assertEqual(
            [line.fields["backend"] for line in trace.context_lines], ["e1"]
        )
        self.assertEqual(trace.attempts, ("e1 (hang, outcome not_run)",))
        self.assertIn("failed at n1", trace.end)
        self.assertIn("code=", trace.end)

    def test_killed_node(self):
        """Guards against reporting a request as finished that has no last line."""
        trace = trace_request("r2", self.lines)
        self.assertIn("no end", trace.end)
        self.assertEqual(trace.attempts, ())

    def test_text_before_a_line(self):
        """Guards against skipping lines to which a log collector adds a prefix."""
        line = parse_line(f"  12.25 n1 {self.lines[2]}")
        self.assertEqual(line.fields["request"], "r1")

    def test_command(self):
        """Guards against a program without a working explain command."""
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory, "n1.log")
            path.write_text("\n".join(self.lines))
            output, errors = io.StringIO(), io.StringIO()
            with (
                contextlib.redirect_stdout(output),
                contextlib.redirect_stderr(errors),
            ):
                self.assertEqual(main(["explain", "r1", str(path)]), 0)
                self.assertEqual(main(["explain", "r8", str(path)]), 1)
                self.assertEqual(main(["explain", "r1", str(path) + "x"]), 1)
        self.assertIn("sent to: e1 (hang, outcome not_run)", output.getvalue())
        self.assertIn("PR1903", errors.getvalue())
