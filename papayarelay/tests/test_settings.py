"""Tests of the parsing and validation of node settings."""

import dataclasses
import json
import pathlib
import re
import tempfile
import unittest

from hypothesis import given

from ..errors import SettingsError
from ..routing import POLICIES
from ..settings import (
    DEFAULTS,
    ROUTING_POLICIES,
    Settings,
    load_settings,
    parse_settings,
)
from .document_strategies import DETERMINISTIC, invalid_documents

PAGE = pathlib.Path(__file__).parent.parent.parent / "docs" / "settings.md"
ROW = re.compile(r"^\| `(\w+)` \| `?([\w.:]+?)`? \|", re.MULTILINE)
REQUIRED = {
    "name": "n1",
    "data_centre": "dc1",
    "region": "r1",
    "store_url": "http://127.0.0.1:9201",
    "vms_url": "http://127.0.0.1:9202",
    "cluster_key_file": "cluster.key",
}
COMPLETE = REQUIRED | {
    "caller_address": "127.0.0.1:0",
    "log_level": "info",
    "body_limit_bytes": 2**20,
    "body_memory_bytes": 2**24,
    "drain_grace_s": 3,
    "routing_policy": "power_of_two",
}


class ParseTest(unittest.TestCase):
    """Guards against settings that are misread, or accepted although invalid."""

    def assert_errors(self, text: str, *paths: str) -> list[SettingsError]:
        with self.assertRaises(ExceptionGroup) as caught:
            parse_settings(text)
        errors = caught.exception.exceptions
        for error in errors:
            self.assertIsInstance(error, SettingsError)
            self.assertTrue(error.allowed)
            str(error).encode("ascii")
        if paths:
            self.assertEqual({error.path for error in errors}, set(paths))
        return errors

    def test_defaults(self):
        settings = parse_settings("// a node\n" + json.dumps(REQUIRED))
        self.assertEqual(settings.name, "n1")
        self.assertEqual(settings.caller_address, "127.0.0.1:8080")
        self.assertEqual(settings.node_address, "127.0.0.1:7000")
        self.assertEqual(settings.body_limit_bytes, 16 * 2**20)
        self.assertEqual(settings.body_memory_bytes, 256 * 2**20)
        self.assertEqual(settings.routing_policy, "cost_aware")

    def test_every_built_policy_can_be_named(self):
        self.assertLessEqual(set(POLICIES), set(ROUTING_POLICIES))

    def test_all_mistakes_at_once(self):
        document = dict(COMPLETE, log_level="inf", store_url="https://h:1/p")
        document["data_center"] = document.pop("data_centre")
        document["drain_grace_s"] = -1
        errors = self.assert_errors(
            json.dumps(document),
            "log_level",
            "store_url",
            "data_center",
            "data_centre",
            "drain_grace_s",
        )
        hints = {error.path: error.hint for error in errors}
        self.assertIn("'data_centre'", hints["data_center"])
        self.assertIn("'info'", hints["log_level"])

    def test_settings_that_contradict_each_other(self):
        document = dict(COMPLETE, body_memory_bytes=1024)
        self.assert_errors(json.dumps(document), "body_memory_bytes")
        document = dict(REQUIRED, node_address="127.0.0.1:8080")
        self.assert_errors(json.dumps(document), "node_address")

    def test_repeated_key(self):
        text = json.dumps(REQUIRED)[:-1] + ', /* "x": */ name: "n2"}'
        self.assert_errors(text, "name")

    def test_files_are_relative_to_the_settings_file(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "node.json")
            path.write_text(json.dumps(REQUIRED))
            settings = load_settings(path)
            self.assertEqual(settings.cluster_key_file, f"{directory}/cluster.key")

    def test_unreadable_file(self):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "node.json")
            with self.assertRaises(ExceptionGroup):
                load_settings(path)
            path.write_bytes(b"\xff\xfe{}")
            with self.assertRaises(ExceptionGroup):
                load_settings(path)

    def test_page_lists_every_setting(self):
        """Guards against a settings page that is out of date after a change."""
        rows = ROW.findall(PAGE.read_text(encoding="utf-8"))
        expected = []
        for field in dataclasses.fields(Settings):
            default = DEFAULTS.get(field.name, "required")
            expected.append((field.name, str(default) or "none"))
        self.assertEqual(sorted(rows), sorted(expected))

    @DETERMINISTIC
    @given(invalid_documents(COMPLETE, tuple(REQUIRED)))
    def test_bad_documents(self, text):
        self.assert_errors(text)
