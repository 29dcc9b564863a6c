"""Tests of the validation of caller requests."""

import json
import unittest

from ..callers.parse import Caller, Headers, parse_engine_request
from ..config import parse_document
from ..errors import RequestError
from ..local import local_document

CALLER = Caller("engravers", "front_desk")
ENGINES = ["127.0.0.1:9001"]
PATH = "/v1/chat/completions"


class PromptLengthTest(unittest.TestCase):
    """Guards against wrong estimates of the prompt length in tokens."""

    def setUp(self):
        self.config = parse_document(json.dumps(local_document(ENGINES, [])))
        self.model, *_ = self.config.models.values()

    def _parse(self, prompt_bytes: int, max_tokens: int = 1):
        body = {
            "model": self.model.name,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": "x" * prompt_bytes}],
        }
        text = json.dumps(body).encode()
        return parse_engine_request(self.config, CALLER, PATH, Headers({}), text, 0.0)

    def test_million_tokens(self):
        """A prompt that fits the context window must not be rejected.

        At the usual bytes per token, 1,000,000 tokens of 8 bytes are estimated as
        2,000,000.
        """
        limit = self.model.context_tokens - 1
        request = self._parse(8 * 1_000_000 - 100)
        self.assertLessEqual(request.prompt_tokens, limit)

    def test_usual_length(self):
        """The estimate used for routing must match text of 4 bytes per token."""
        self.assertAlmostEqual(self._parse(40_000).prompt_tokens, 10_000, delta=10)

    def test_certainly_too_long(self):
        """A prompt that can't fit the context window must not reach an engine."""
        with self.assertRaises(RequestError):
            self._parse(8 * (self.model.context_tokens + 1))
        with self.assertRaises(RequestError):
            self._parse(100, self.model.context_tokens)
