"""Tests of the parsing and validation of the configuration document."""

import json
import unittest

from hypothesis import given

from ..config import SECTIONS, Config, parse_document, parse_sections
from ..errors import SettingsError
from .document_strategies import DETERMINISTIC, invalid_documents

DIGEST = "ab" * 32


def example() -> dict:
    """Return a valid document with an entry of each type."""
    return {
        "members": {
            "engravers": {
                "share": 0.5,
                "organisations": {"front_desk": {"weight": 1, "key_sha256": [DIGEST]}},
            }
        },
        "kinds": {
            "chat": {
                "target": "engine",
                "idempotent": True,
                "deadline_s": 60,
                "priority": 1,
            },
            "engraving_job": {
                "target": "service",
                "idempotent": False,
                "deadline_s": 30,
                "priority": 0,
            },
        },
        "data_centres": {"dc1": {"region": "r1", "state": "active"}},
        "backends": {
            "engine-1": {
                "target": "engine",
                "data_centre": "dc1",
                "url": "http://127.0.0.1:9001",
                "models": ["m"],
                "kinds": [],
                "state": "active",
                "checks_fencing": True,
                "cold_bound_tokens": 8192,
            },
            "orders-1": {
                "target": "service",
                "data_centre": "dc1",
                "url": "http://127.0.0.1:9101",
                "kinds": ["engraving_job"],
            },
        },
        "models": {"m": {"context_tokens": 1000000}},
        "limits": {"claim_writes_per_s": 200},
    }


def errors_of(text: str) -> dict[str, SettingsError]:
    """Return the validation errors of a document by path."""
    try:
        parse_document(text)
    except ExceptionGroup as group:
        return {error.path: error for error in group.exceptions}
    return {}


class ParseTest(unittest.TestCase):
    """Guards against a document that is misread, or accepted although invalid."""

    def test_example(self):
        config = parse_document(json.dumps(example()), version=7)
        self.assertEqual(config.version, 7)
        self.assertEqual(config.backends["engine-1"].models, ("m",))
        self.assertEqual(config.kinds["engraving_job"].idempotent, False)
        organisation = config.members["engravers"].organisations["front_desk"]
        self.assertEqual(organisation.key_sha256, (DIGEST,))

    def test_sections_equal_document(self):
        document = example()
        sections = {name: json.dumps(value) for name, value in document.items()}
        self.assertEqual(
            parse_sections(sections, 3), parse_document(json.dumps(document), 3)
        )

    def test_empty_sections(self):
        self.assertEqual(parse_sections({}, 0), Config())

    def test_all_mistakes_at_once(self):
        document = example()
        backend = document["backends"]["engine-1"]
        backend["url"] = "https://user@host/path"
        backend["data_centre"] = "dc2"
        backend["models"] = ["mm"]
        backend["stat"] = backend.pop("state")
        document["members"]["dentists"] = {"share": 0.6}
        document["members"]["engravers"]["organisations"]["front_desk"][
            "key_sha256"
        ] = ["AB" * 32]
        document["kinds"]["booking"] = dict(document["kinds"]["engraving_job"])
        document["membres"] = {}
        found = errors_of(json.dumps(document))
        self.assertEqual(
            set(found),
            {
                "backends.engine-1.url",
                "backends.engine-1.data_centre",
                "backends.engine-1.models.0",
                "backends.engine-1.stat",
                "members",
                "members.engravers.organisations.front_desk.key_sha256.0",
                "kinds.booking",
                "membres",
            },
        )
        self.assertIn("'state'", found["backends.engine-1.stat"].hint)
        self.assertIn("'members'", found["membres"].hint)
        self.assertIn("'dc1'", found["backends.engine-1.data_centre"].hint)

    def test_references_are_not_checked_in_an_unreadable_section(self):
        sections = {name: json.dumps(value) for name, value in example().items()}
        sections["data_centres"] = "{"
        with self.assertRaises(ExceptionGroup) as caught:
            parse_sections(sections, 1)
        self.assertEqual(
            [error.path for error in caught.exception.exceptions], ["data_centres"]
        )

    def test_key_of_two_organisations(self):
        document = example()
        organisations = document["members"]["engravers"]["organisations"]
        organisations["workshop"] = {"key_sha256": [DIGEST]}
        path = "members.engravers.organisations.workshop.key_sha256"
        self.assertEqual(list(errors_of(json.dumps(document))), [path])

    def test_url_of_two_backends(self):
        document = example()
        document["backends"]["orders-1"]["url"] = "http://127.0.0.1:9001"
        self.assertEqual(
            list(errors_of(json.dumps(document))), ["backends.orders-1.url"]
        )

    def test_shares_that_are_inexact_in_binary(self):
        document = example()
        shares = {f"m{index}": {"share": 0.1} for index in range(10)}
        document["members"] = shares
        self.assertEqual(errors_of(json.dumps(document)), {})

    def test_service_kind_can_be_added_one_section_at_a_time(self):
        sections = {name: json.dumps(value) for name, value in example().items()}
        accepted = {}
        for name in ("data_centres", "models", "backends", "kinds", "members"):
            accepted[name] = sections[name]
            parse_sections(accepted, 1)
        self.assertLessEqual(set(accepted), set(SECTIONS))

    @DETERMINISTIC
    @given(
        invalid_documents(
            example(),
            (
                "share",
                "target",
                "idempotent",
                "deadline_s",
                "priority",
                "region",
                "data_centre",
                "url",
                "context_tokens",
            ),
        )
    )
    def test_bad_documents(self, text):
        with self.assertRaises(ExceptionGroup) as caught:
            parse_document(text)
        for error in caught.exception.exceptions:
            self.assertIsInstance(error, SettingsError)
            str(error).encode("ascii")
