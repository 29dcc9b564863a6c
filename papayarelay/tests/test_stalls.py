"""Tests of the measuring of event loop stalls."""

import time
import unittest

import gevent

from ..stalls import StallMeter

STALL_S = 0.05


class StallMeterTest(unittest.TestCase):
    """Guards against stalls of the event loop that are not seen."""

    def setUp(self):
        self.meter = StallMeter()
        self.meter.start()
        self.addCleanup(self.meter.close)
        # The first pass begins with the first poll for events.
        gevent.sleep(0.001)

    @staticmethod
    def _block() -> None:
        """Keep the event loop from polling."""
        end_s = time.perf_counter() + STALL_S
        while time.perf_counter() < end_s:
            pass

    def test_one_task(self):
        """A task that blocks would not be seen, or seen for ever."""
        gevent.spawn(self._block).join()
        gevent.sleep(0.001)
        self.assertGreaterEqual(self.meter.take_longest_s(), STALL_S)
        gevent.sleep(0.001)
        self.assertLess(self.meter.take_longest_s(), STALL_S)

    def test_sleep_of_zero(self):
        """Tasks that only pass control on would be taken for polls for events."""

        def run() -> None:
            self._block()
            gevent.sleep(0)
            self._block()

        gevent.spawn(run).join()
        gevent.sleep(0.001)
        self.assertGreaterEqual(self.meter.take_longest_s(), 2 * STALL_S)

    def test_waiting(self):
        """The time that the event loop waits for events would count as a stall."""
        gevent.sleep(STALL_S)
        gevent.sleep(0.001)
        self.assertLess(self.meter.take_longest_s(), STALL_S)
