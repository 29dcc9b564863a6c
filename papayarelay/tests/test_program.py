"""Tests of the command line."""

import contextlib
import io
import json
import pathlib
import shutil
import subprocess
import tempfile
import unittest
from unittest.mock import Mock

from gevent import pywsgi
from gevent.event import Event

from ..config import parse_document
from ..errors import StoreUnavailableError
from ..operators.api import OperatorApi
from ..operators.command import ExitCode
from ..program import main, parse_arguments
from ..standins.tables import TablesStandIn
from .test_config import example
from .test_settings import REQUIRED

TOKEN = "operator-token"


class FakeNode:
    """Stands in for a node behind the operator API."""

    def __init__(self):
        self.drained: dict[str, bool] = {}
        self.version = 3

    def status(self) -> dict:
        return {"name": "n1", "config_version": self.version, "drained": self.drained}

    def set_drained(self, name: str, drained: bool) -> dict:
        if name == "dc9":
            raise StoreUnavailableError("table service is down", step="w", peer="store")
        self.drained[name] = drained
        return {"name": name, "drained": drained}

    def look_up_job(self, member: str, kind: str, key: str) -> dict | None:
        if key == "no such key":
            return None
        return {"member": member, "kind": kind, "key": key, "state": "completed"}


class ProgramTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)
        self.output = self.errors = ""

    def write(self, name: str, text: str) -> str:
        path = self.directory / name
        path.write_text(text)
        return str(path)

    def run_program(self, *arguments: str) -> int:
        """Run the program, capture its output and return its exit code."""
        output, errors = io.StringIO(), io.StringIO()
        try:
            with (
                contextlib.redirect_stdout(output),
                contextlib.redirect_stderr(errors),
            ):
                return main(list(arguments))
        except SystemExit as stop:
            return stop.code
        finally:
            self.output, self.errors = output.getvalue(), errors.getvalue()


class HelpTest(ProgramTest):
    def test_help_has_examples_and_exit_codes(self):
        """Guards against a command without an example, or an undocumented exit code."""
        self.assertEqual(self.run_program("--help"), ExitCode.SUCCESS)
        for code in ExitCode:
            self.assertIn(f"\n  {code.value}  ", self.output)
        for command in (
            ["node"],
            ["status"],
            ["drain"],
            ["return"],
            ["job", "show"],
            ["settings", "check"],
            ["config", "check"],
            ["config", "show"],
            ["config", "diff"],
            ["config", "apply"],
            ["config", "history"],
            ["config", "wait"],
            ["completion"],
        ):
            with self.subTest(command=command):
                self.assertEqual(self.run_program(*command, "--help"), 0)
                self.assertIn("papayarelay " + " ".join(command), self.output)
                self.assertIn("example:", self.output)

    def test_examples_can_be_parsed(self):
        """Guards against an example in the help that the parser rejects."""
        self.run_program("config", "apply", "--help")
        example_line = self.output.splitlines()[-1].split()
        self.assertEqual(example_line[0], "papayarelay")
        self.assertEqual(parse_arguments(example_line[1:]).base, 12)

    def test_wrong_usage(self):
        """Guards against invalid arguments that don't lead to a usage error."""
        for arguments in (
            [],
            ["stats"],
            ["node"],
            ["status", "--token-file", "t", "--node", "nowhere"],
            ["status", "--token-file", "t", "--timeout-s", "-1"],
        ):
            with self.subTest(arguments=arguments):
                self.assertEqual(self.run_program(*arguments), ExitCode.USAGE)

    def test_completion(self):
        """Guards against completion scripts that do not run or miss commands."""
        self.assertEqual(self.run_program("completion", "zsh"), 0)
        self.assertIn("bashcompinit", self.output)
        self.assertEqual(self.run_program("completion", "bash"), 0)
        if shutil.which("bash") is None:
            self.skipTest("bash is not installed")
        script = self.write("completion.bash", self.output)
        words = {
            "papayarelay conf": "config",
            "papayarelay config ap": "apply",
            "papayarelay config apply x --sec": "--section",
            "papayarelay completion b": "bash",
        }
        for line, expected in words.items():
            command = (
                f"source {script}; COMP_WORDS=({line});"
                " COMP_CWORD=$((${#COMP_WORDS[@]} - 1));"
                ' _papayarelay; echo "${COMPREPLY[@]}"'
            )
            found = subprocess.run(
                ["bash", "-c", command], capture_output=True, text=True, check=True
            )
            self.assertEqual(found.stdout.strip(), expected)


class SettingsTest(ProgramTest):
    def test_check(self):
        """Guards against settings that pass the check but keep a node from starting."""
        path = self.write("node.json", json.dumps(REQUIRED))
        self.assertEqual(self.run_program("settings", "check", path), ExitCode.FAILED)
        self.assertIn("cluster_key_file", self.errors)
        self.write("cluster.key", "key")
        self.assertEqual(self.run_program("settings", "check", "--json", path), 0)
        self.assertEqual(json.loads(self.output)["data_centre"], "dc1")

    def test_validation_errors(self):
        """Guards against a report of only the first error."""
        path = self.write("node.json", '{"nam": "n1", "log_level": "loud"}')
        arguments = ("settings", "check", "--json", path)
        self.assertEqual(self.run_program(*arguments), ExitCode.FAILED)
        found = json.loads(self.errors)
        paths = {mistake["path"] for mistake in found["mistakes"]}
        self.assertLessEqual({"nam", "name", "log_level", "region"}, paths)
        self.assertTrue(found["advice"])
        self.assertEqual(self.output, "")

    def test_node_with_bad_settings(self):
        """Guards against a node that starts with invalid settings."""
        path = self.write("node.json", '{"nam": "n1"}')
        self.assertEqual(self.run_program("node", "--settings", path), ExitCode.FAILED)
        events = [json.loads(line)["event"] for line in self.errors.splitlines()]
        self.assertEqual(set(events), {"PR1007"})


class ConfigCheckTest(ProgramTest):
    def test_check(self):
        """Guards against a check whose result differs from that of a node."""
        path = self.write("config.json", json.dumps(example()))
        self.assertEqual(self.run_program("config", "check", "--json", path), 0)
        self.assertEqual(json.loads(self.output)["entries"]["backends"], 2)
        document = example()
        document["backends"]["engine-1"]["data_centre"] = "dc2"
        path = self.write("config.json", json.dumps(document))
        self.assertEqual(self.run_program("config", "check", path), ExitCode.FAILED)
        self.assertIn("backends.engine-1.data_centre", self.errors)
        self.assertIn("'dc1'", self.errors)


class OperatorTest(ProgramTest):
    def setUp(self):
        super().setUp()
        self.node = FakeNode()
        app = OperatorApi(self.node, TOKEN, lambda: b"").create_app()
        self.server = pywsgi.WSGIServer(("127.0.0.1", 0), app, log=None, error_log=None)
        self.server.start()
        self.addCleanup(self.server.stop)
        self.address = f"127.0.0.1:{self.server.server_port}"
        self.token_file = self.write("token", f"{TOKEN}\n")

    def ask(self, *arguments: str) -> int:
        options = ("--node", self.address, "--token-file", self.token_file)
        return self.run_program(*arguments, *options)

    def test_drain_and_return(self):
        """Guards against a drain of the wrong target, or a wrong exit code."""
        self.assertEqual(self.ask("drain", "dc1"), 0)
        self.assertEqual(self.node.drained, {"dc1": True})
        self.assertEqual(self.ask("return", "dc1", "--json"), 0)
        self.assertEqual(self.node.drained, {"dc1": False})
        self.assertEqual(json.loads(self.output), {"name": "dc1", "drained": False})

    def test_refused_drain(self):
        """Guards against a failed drain that is reported as a success."""
        self.assertEqual(self.ask("drain", "dc9"), ExitCode.FAILED)
        self.assertIn("table service is down", self.errors)

    def test_status(self):
        """Guards against a status that lacks the fields reported by the node."""
        self.assertEqual(self.ask("status"), 0)
        self.assertIn("config_version: 3\n", self.output)

    def test_job_with_any_key(self):
        """Guards against keys truncated or altered by the encoding in the URL."""
        for key in ("order-1", "a/b c", "50%", "čž", "..?x=1#y"):
            with self.subTest(key=key):
                job = ("job", "show", key, "--member", "m", "--kind", "k", "--json")
                self.assertEqual(self.ask(*job), 0)
                self.assertEqual(json.loads(self.output)["key"], key)
        job = ("job", "show", "no such key", "--member", "m", "--kind", "k")
        self.assertEqual(self.ask(*job), ExitCode.FAILED)

    def test_wrong_token(self):
        """Guards against a rejected or empty token without advice on its cause."""
        self.token_file = self.write("token", "other")
        self.assertEqual(self.ask("status"), ExitCode.FAILED)
        self.assertIn("operator_token_file", self.errors)
        self.token_file = self.write("token", "")
        self.assertEqual(self.ask("status"), ExitCode.FAILED)
        self.assertIn("holds no token", self.errors)

    def test_node_without_a_token(self):
        """Guards against an API open to anyone when no token is configured."""
        app = OperatorApi(self.node, "", lambda: b"").create_app()
        for header in (None, "Bearer", "Bearer ", "bearer x"):
            environ = {"PATH_INFO": "/operator/status", "REQUEST_METHOD": "GET"}
            if header is not None:
                environ["HTTP_AUTHORIZATION"] = header
            start_response = Mock()
            list(app(environ, start_response))
            self.assertEqual(start_response.call_args.args[0][:3], "401", header)

    def test_no_node(self):
        """Guards against an unreachable node that is reported as a rejection."""
        self.server.stop()
        self.assertEqual(self.ask("drain", "dc1"), ExitCode.UNREACHABLE)

    def test_lost_answer(self):
        """Guards against a lost response that is reported as no change."""
        self.server.application = _never_answer
        drain = ("drain", "dc1", "--timeout-s", "0.2")
        self.assertEqual(self.ask(*drain), ExitCode.UNCERTAIN)

    def test_wait(self):
        """Guards against a wait that ends before all nodes applied the version."""
        self.assertEqual(self.ask("config", "wait", "3", "--json"), 0)
        wait = ("config", "wait", "4", "--timeout-s", "0.3")
        self.assertEqual(self.ask(*wait), ExitCode.FAILED)
        self.assertIn("version 3", self.errors)
        self.server.stop()
        wait = ("config", "wait", "3", "--timeout-s", "0.3")
        self.assertEqual(self.ask(*wait), ExitCode.FAILED)


class ConfigTest(ProgramTest):
    """Tests against the stand-in of the table service."""

    def setUp(self):
        super().setUp()
        self.tables = TablesStandIn()
        self.tables.start()
        self.addCleanup(self.tables.close)
        self.store = ("--store", f"http://{self.tables.address}")

    def apply(self, section: str, value: object, base: int, *more: str) -> int:
        path = self.write(section, f"// {section}\n{json.dumps(value)} // end")
        arguments = ("--section", section, "--base", str(base), "--editor", "ana")
        return self.run_program("config", "apply", path, *arguments, *more, *self.store)

    def apply_example(self) -> dict:
        document = example()
        names = ("data_centres", "models", "backends", "kinds", "members", "limits")
        for base, name in enumerate(names):
            self.assertEqual(self.apply(name, document[name], base), 0, self.errors)
        return document

    def test_a_new_system_can_be_set_up(self):
        """Guards against validation that makes the initial set-up impossible.

        Each section is checked together with the stored ones, so some order of
        edits has to be valid from an empty configuration on.
        """
        document = self.apply_example()
        self.assertEqual(self.run_program("config", "show", "--json", *self.store), 0)
        self.assertEqual(json.loads(self.output)["version"], 6)
        self.assertEqual(self.run_program("config", "show", *self.store), 0)
        self.assertEqual(self.errors, "version 6\n")
        self.assertEqual(
            parse_document(self.output), parse_document(json.dumps(document))
        )

    def test_edit(self):
        """Guards against an edit that drops comments or reports a wrong version."""
        document = self.apply_example()
        show = ("config", "show", "--section", "data_centres", *self.store)
        self.assertEqual(self.run_program(*show), 0)
        self.assertTrue(self.output.startswith("// data_centres\n"))
        path = self.write("dc.json", self.output.replace("active", "drained"))
        diff = ("config", "diff", path, "--section", "data_centres", *self.store)
        self.assertEqual(self.run_program(*diff), ExitCode.FAILED)
        change = 'data_centres.dc1.state: "active" -> "drained"\n'
        self.assertEqual(self.output, change)
        document["data_centres"]["dc1"]["state"] = "drained"
        self.assertEqual(self.apply("data_centres", document["data_centres"], 6), 0)
        self.assertIn("version 7", self.output)
        self.assertEqual(self.run_program(*diff), ExitCode.SUCCESS)
        history = ("config", "history", "--limit", "1", "--json", *self.store)
        self.assertEqual(self.run_program(*history), 0)
        (edit,) = json.loads(self.output)
        self.assertEqual((edit["editor"], edit["version"]), ("ana", 7))

    def test_refused_edits(self):
        """Guards against a rejected edit that is reported as a success."""
        document = self.apply_example()
        self.assertEqual(self.apply("models", {}, 6), ExitCode.FAILED)
        self.assertIn("backends.engine-1.models.0", self.errors)
        changed = {"m": {"context_tokens": 5}}
        self.assertEqual(self.apply("models", changed, 6), 0)
        late = self.apply("models", document["models"], 1, "--json")
        self.assertEqual(late, ExitCode.CONFLICT)
        self.assertIn("--base 7", json.loads(self.errors)["advice"])

    def test_section_is_checked_with_the_stored_ones(self):
        """Guards against a check that passes what apply would reject."""
        self.apply_example()
        path = self.write("models", "{}")
        check = ("config", "check", path, "--section", "models")
        self.assertEqual(self.run_program(*check, *self.store), ExitCode.FAILED)
        self.assertIn("backends.engine-1.models.0", self.errors)
        self.assertEqual(self.run_program(*check), ExitCode.FAILED)
        self.assertIn("--store", self.errors)

    def test_store_down(self):
        """Guards against an unreachable store that is reported as empty."""
        self.tables.close()
        self.assertEqual(
            self.run_program("config", "show", *self.store), ExitCode.UNREACHABLE
        )
        self.assertEqual(self.output, "")


def _never_answer(environ, start_response):
    Event().wait()
