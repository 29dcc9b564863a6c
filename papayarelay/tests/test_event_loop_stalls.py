"""Tests of the measurement of event loop stalls."""

import time
import unittest

import gevent

from ..event_loop_stalls import StallMeter

STALL_S = 0.05


class StallMeterTest(unittest.TestCase):
    """Guards against event loop stalls that are not measured."""

    def setUp(self):
        self.meter = StallMeter()
        self.meter.start()
        self.addCleanup(self.meter.close)
        # The first iteration starts with the first poll for events.
        gevent.sleep(0.001)

    @staticmethod
    def _block() -> None:
        """Block the event loop for ``STALL_S``."""
        end_s = time.perf_counter() + STALL_S
        while time.perf_counter() < end_s:
            pass

    def test_one_task(self):
        """Guards against a blocking task that is missed, or reported more than once."""
        gevent.spawn(self._block).join()
        gevent.sleep(0.001)
        self.assertGreaterEqual(self.meter.take_longest_s(), STALL_S)
        gevent.sleep(0.001)
        self.assertLess(self.meter.take_longest_s(), STALL_S)

    def test_sleep_of_zero(self):
        """Guards against taking a switch between greenlets for a poll for events."""

        def run() -> None:
            self._block()
            gevent.sleep(0)
            self._block()

        gevent.spawn(run).join()
        gevent.sleep(0.001)
        self.assertGreaterEqual(self.meter.take_longest_s(), 2 * STALL_S)

    def test_waiting(self):
        """Guards against counting the time spent waiting for events as a stall."""
        gevent.sleep(STALL_S)
        gevent.sleep(0.001)
        self.assertLess(self.meter.take_longest_s(), STALL_S)
