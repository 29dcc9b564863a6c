"""Tests of chats that crash engines, on the product's own interface."""

import unittest
from dataclasses import replace

import openai

from ..local import api_key
from .system import FAST_ENGINE, MODEL, System

BAD = "a message that crashes engines"
RESTART_S = 0.3


class ChatTest(unittest.TestCase):
    """Guards against a message that crashes one engine after the other."""

    def setUp(self):
        settings = replace(FAST_ENGINE, restart_s=RESTART_S)
        self.system = self.enterContext(System(engines=6, engine_settings=settings))
        self.system.wait_for_loads()
        for engine in self.system.engines:
            engine.faults.crash_on = BAD
        self.client = openai.OpenAI(
            base_url=f"{self.system.url()}/v1",
            api_key=api_key("front_desk"),
            max_retries=0,
        )
        self.addCleanup(self.client.close)

    def _send(self, *messages: str) -> int:
        """Send a chat; return the status."""
        chat = [{"role": "user", "content": text} for text in messages]
        try:
            self.client.chat.completions.create(
                model=MODEL, messages=chat, max_tokens=4
            )
        except openai.APIStatusError as error:
            return error.status_code
        return 200

    def test_message_that_crashes_engines(self):
        """Guards against repeats, and against others who lose service by them."""
        shared = "a message of many chats"
        self.assertEqual(self._send(shared, "first"), 200)
        statuses = [self._send(shared, BAD, f"last {n}") for n in range(8)]
        crashes = sum(engine.model.crashes for engine in self.system.engines)
        self.assertEqual(statuses[-1], 400)
        self.assertLessEqual(crashes, 6)
        self.assertEqual(self._send(shared, "another"), 200)

    def test_request_that_crashes_engines(self):
        """Guards against a request that crashes engines each time it is sent again.

        None of its segments is shared with other requests.
        """
        statuses = [self._send(BAD) for _ in range(8)]
        crashes = sum(engine.model.crashes for engine in self.system.engines)
        self.assertEqual(statuses[-1], 400)
        self.assertLessEqual(crashes, 6)
        self.assertEqual(self._send("another"), 200)
