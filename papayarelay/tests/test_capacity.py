"""Tests of the capacity page."""

import argparse
import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from ..bench import capacity
from ..bench.capacity import Measurement, Row, evaluate, fit


def make_lines(function, quantity="q"):
    """Return one measurement for each of several numbers of nodes."""
    return [
        Measurement(
            quantity,
            "s",
            {"nodes": nodes, "policy": "p"},
            function(nodes),
            f"run {nodes}",
        )
        for nodes in (10, 20, 50, 100)
    ]


class FitTest(unittest.TestCase):
    def test_line_with_errors(self):
        """Guards against wrong slopes or standard errors of the least-squares fit."""
        fitted = fit(make_lines(lambda nodes: 3 + 2 * nodes), ["nodes", "policy"])
        self.assertEqual(fitted.variables, ("nodes",))
        value, error = fitted.project({"nodes": 370})
        self.assertAlmostEqual(value, 743, places=6)
        self.assertAlmostEqual(error, 0, places=6)
        noisy = fit(make_lines(lambda nodes: nodes + (-1) ** (nodes // 10)), ["nodes"])
        mean = 45.0
        places = [10, 20, 50, 100]
        values = [n + (-1) ** (n // 10) for n in places]
        spread = sum((n - mean) ** 2 for n in places)
        average = sum(values) / 4
        pairs = list(zip(places, values, strict=True))
        slope = sum((n - mean) * (v - average) for n, v in pairs) / spread
        left = [v - average - slope * (n - mean) for n, v in pairs]
        error = (sum(r * r for r in left) / 2 / spread) ** 0.5
        self.assertAlmostEqual(noisy.coefficients[1], slope)
        self.assertAlmostEqual(noisy.standard_errors[1], error)

    def test_too_few_points(self):
        """Guards against a projection from as many points as coefficients."""
        self.assertIsNone(fit(make_lines(float)[:2], ["nodes"]))


class RowTest(unittest.TestCase):
    def row(self, **arguments):
        return Row("r", "i", "s", "m", "q", ("nodes",), mitigation="less", **arguments)

    def test_over_budget_is_marked(self):
        """Guards against a page that does not flag a row over its budget."""
        lines = make_lines(lambda nodes: 3 + 2 * nodes)
        result = evaluate(self.row(budget=700.0), lines)
        self.assertEqual(result.state, "OVER BUDGET: less")
        result = evaluate(self.row(budget=800.0), lines)
        self.assertEqual((result.state, result.command), ("within budget", "run 100"))

    def test_not_measured(self):
        """Guards against a projected value where measurements are missing or few."""
        result = evaluate(self.row(exact_values={"policy": "other"}), make_lines(float))
        self.assertEqual((result.state, result.value), ("not measured", None))
        result = evaluate(self.row(budget=5.0), make_lines(float)[:2])
        self.assertTrue(result.state.startswith("OVER BUDGET at nodes 20"))


class SumTest(unittest.TestCase):
    def test_shared_budget(self):
        """Guards against an undetected overrun of a budget that two rows share.

        Each row alone is within the budget; only their sum exceeds it.
        """
        row = next(r for r in capacity.ROWS if r.summands)
        self.assertEqual(evaluate(row, []).state, "not measured")
        lines = []
        for number in range(6):
            variables = {
                "nodes": 48 + 31 * number * number,
                "links": 4 + number,
                "changes_per_s": number % 2,
                "marks_per_s": number // 3,
                "policy": "fixed_overlay",
                "killed": 0,
                "engines": 600,
                "polls_per_s": number,
            }
            for name in row.summands:
                lines.append(Measurement(name, "core", variables, 0.007, "run"))
        for name in row.summands:
            part = next(r for r in capacity.ROWS if r.quantity == name)
            self.assertEqual(evaluate(part, lines).state, "within budget")
        result = evaluate(row, lines)
        self.assertAlmostEqual(result.value, 0.014)
        self.assertTrue(result.state.startswith("OVER BUDGET"))


class PageTest(unittest.TestCase):
    def run_command(self, text):
        parser = argparse.ArgumentParser()
        capacity.add_arguments(parser.add_subparsers())
        with tempfile.TemporaryDirectory() as directory:
            (Path(directory) / "a.jsonl").write_text(text)
            page = Path(directory) / "page.md"
            arguments = ["--measurements", directory, "--output", str(page)]
            namespace = parser.parse_args(["capacity", *arguments])
            stderr = io.StringIO()
            with (
                contextlib.redirect_stderr(stderr),
                contextlib.redirect_stdout(io.StringIO()),
            ):
                code = namespace.run(namespace)
            return code, stderr.getvalue(), page.read_text() if page.exists() else ""

    def test_all_roles(self):
        """Guards against a page without a role or a quantity that no row uses."""
        line = {
            "quantity": "new_quantity",
            "unit": "s",
            "variables": {"size": 1},
            "value": 2.0,
            "command": "run",
        }
        code, _, page = self.run_command(json.dumps(line) + "\n")
        self.assertEqual(code, 0)
        for role in {row.role for row in capacity.ROWS}:
            self.assertIn(f"## {role}\n", page)
        self.assertIn("not measured", page)
        self.assertIn("new_quantity", page)

    def test_malformed_line(self):
        """Guards against silently skipping a malformed measurement."""
        for text in ('{"quantity": "q"}', "nonsense", '{"value": "3"}'):
            code, errors, page = self.run_command(text)
            self.assertEqual((code, page), (2, ""))
            self.assertIn("a.jsonl:1", errors)
