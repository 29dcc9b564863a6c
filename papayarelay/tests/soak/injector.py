"""Fault injection of the soak test: random, seeded, overlapping faults."""

from __future__ import annotations

import math
import random
import signal
import time

import gevent

from ..store_standin import StoreFaults
from .backend import BackendStandIn
from .client import PoisonClient
from .environment import DATA_CENTRES, KEYS, Environment
from .process import NodeProcess

# Backend servers that are never disturbed, so that every service stays available.
UNDISTURBED_BACKENDS = frozenset({"e0", "p0", "m0"})
# Longer than nodes accept API keys without contact to the store.
PARTITION_S = 8.0
FAILURE_MODES = ("hang", "refuse", "cut", "torn", "extra")
# Longer than a leaving server may still receive requests.
LONG_FAULT_S = (4.0, 8.0)
LIMITS_PER_S = (0.0, 0.4, 1.0, 2.5, 8.0)
# Longer than the time after which nodes must keep to a limit.
LIMIT_DURATION_S = (4.5, 10.0)
# Longer than the time after which nodes must send no such requests.
POISON_DURATION_S = (5.0, 10.0)
POISON_CLIENT_NUMBER = 99
# Age of a backup of the store, and how long after it what was lost is written again.
BACKUP_AGE_S = (1.0, 10.0)
MAX_REWRITE_S = 0.5
# Fraction of the limits that all servers of a service name.
ALL_LIMITED_RATIO = 0.2


class Injector:
    """Injects a random series of faults; ``log`` lists them."""

    def __init__(self, environment: Environment):
        self.log: list[str] = []
        self._environment = environment
        self._begun_s = time.monotonic()
        # Separate, so that the series of the other faults stays the same.
        self._limit_rng = random.Random(environment.seed)
        self._poison_rng = random.Random(environment.seed)
        self._restore_rng = random.Random(environment.seed)
        self._faults = (
            self._kill,
            self._pause,
            self._stop,
            self._send_sighup,
            self._store_fault,
            self._partition_from_store,
            self._truncate_history,
            self._unreadable_rows,
            self._crash_backend,
            self._drain_backend,
            self._break_backend,
            self._announce_leaving,
            self._reject_with_pause,
            self._send_endless,
            self._lose_commands,
            self._change_config,
            self._revoke_keys,
            self._revoke_keys_during_partition,
            self._evacuate,
        )

    def run(self, duration_s: float) -> None:
        """Inject faults for ``duration_s``, then wait until all of them have ended."""
        rng = self._environment.rng
        end_s = time.monotonic() + duration_s
        tasks = [
            gevent.spawn(self._name_limits_until, end_s),
            gevent.spawn(self._poison_until, end_s),
            gevent.spawn(self._restore_until, end_s),
        ]
        while time.monotonic() < end_s:
            tasks.append(gevent.spawn(rng.choice(self._faults)))
            gevent.sleep(rng.uniform(0.1, 1.5))
        gevent.joinall(tasks)
        self._environment.put_config(KEYS)

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self._begun_s:.2f} {text}")

    def _random_node(self) -> NodeProcess:
        return self._environment.rng.choice(self._environment.nodes)

    def _random_duration_s(self, max_s: float) -> float:
        return self._environment.rng.uniform(0.2, max_s)

    def _kill(self) -> None:
        node = self._random_node()
        self._note(f"kill {node.name}")
        node.kill()
        node.mark_disturbed()
        gevent.sleep(self._random_duration_s(1.0))
        if not node.running:
            node.start()

    def _pause(self) -> None:
        node = self._random_node()
        duration_s = self._random_duration_s(4.0)
        self._note(f"pause {node.name} for {duration_s:.1f} s")
        node.signal(signal.SIGSTOP)
        node.paused = True
        gevent.sleep(duration_s)
        node.signal(signal.SIGCONT)
        node.paused = False
        node.mark_disturbed()

    def _stop(self) -> None:
        node = self._random_node()
        if node.stopping_s is not None or not node.running:
            return
        self._note(f"stop {node.name}")
        popen = node.popen
        node.signal(signal.SIGTERM)
        node.stopping_s = time.monotonic()
        with gevent.Timeout(8.0, False):
            while popen.poll() is None:
                gevent.sleep(0.05)
        if popen is not node.popen:
            return
        if popen.poll() is None:
            self._environment.record.add_violation(
                f"STOP {node.name} still running 8 s after SIGTERM"
            )
        node.kill()
        node.start()

    def _send_sighup(self) -> None:
        node = self._random_node()
        self._note(f"SIGHUP {node.name}")
        popen, ready = node.popen, self._environment.ready(node)
        node.signal(signal.SIGHUP)
        gevent.sleep(0.5)
        if popen is node.popen and not node.running:
            # SIGHUP ends a process that has not installed its handlers yet; the
            # platform restarts it.
            if ready:
                self._environment.record.add_violation(
                    f"HUP {node.name} terminated by SIGHUP"
                )
            node.start()

    def _store_fault(self) -> None:
        environment = self._environment
        mode = environment.rng.choice(("busy", "many", "silent", "reset", "lost"))
        duration_s = self._random_duration_s(6.0)
        self._note(f"store {mode} for {duration_s:.1f} s")
        environment.store.faults = StoreFaults(mode, environment.rng.choice((0.0, 0.3)))
        self._hold_store(duration_s)
        environment.store.faults = StoreFaults()

    def _hold_store(self, duration_s: float) -> None:
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            self._environment.store_disturbed_s = time.monotonic()
            gevent.sleep(0.1)
        self._environment.store_disturbed_s = time.monotonic()

    def _partition_from_store(self, duration_s: float = 0.0) -> None:
        node = self._random_node()
        mode = self._environment.rng.choice(("silent", "one_way", "refuse"))
        duration_s = duration_s or self._random_duration_s(8.0)
        self._note(
            f"{node.name} partitioned from the store ({mode}) for {duration_s:.1f} s"
        )
        node.store.mode = mode
        if mode == "refuse":
            node.store.reset_all()
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            node.mark_disturbed()
            gevent.sleep(0.1)
        node.store.mode = ""
        node.store.reset_all()
        node.mark_disturbed()

    def _truncate_history(self) -> None:
        self._note("store truncates its history")
        self._environment.store.drop_history()

    def _unreadable_rows(self) -> None:
        self._note("unreadable rows in the store")
        rows = self._environment.store.rows
        rows.put("servers", "x", b"\xff\x00")
        rows.put("servers", "y", b'{"service": "model", "state": "odd"}')
        rows.put("op", "other", b"[]")

    def _random_backend(self):
        environment = self._environment
        some = [b for b in environment.backends if b.id not in UNDISTURBED_BACKENDS]
        return environment.rng.choice(some)

    def _crash_backend(self) -> None:
        backend = self._random_backend()
        again = self._environment.rng.choice((backend.id, f"{backend.id}x"))
        self._note(f"crash {backend.id}, restart as {again}")
        backend.crash()
        if again != backend.id:
            self._environment.store.remove("servers", backend.id)
        gevent.sleep(self._random_duration_s(3.0))
        try:
            backend.restart(again)
        except OSError:
            self._note(f"{again} could not bind its port")

    def _drain_backend(self) -> None:
        backend = self._random_backend()
        self._note(f"drain {backend.id}")
        backend.drain()
        gevent.sleep(self._random_duration_s(6.0))
        backend.draining_s = None

    def _announce_leaving(self) -> None:
        """Announce in responses that a server is leaving, but not in the store."""
        backend = self._random_backend()
        self._note(f"{backend.id} announces that it is leaving")
        backend.leaving = True
        gevent.sleep(self._environment.rng.uniform(*LONG_FAULT_S))
        if not backend.leaving:
            return
        backend.crash()
        gevent.sleep(0.1)
        try:
            backend.restart(backend.id)
        except OSError:
            self._note(f"{backend.id} could not bind its port")

    def _break_backend(self) -> None:
        self._hold_mode(
            self._environment.rng.choice(FAILURE_MODES), self._random_duration_s(4.0)
        )

    def _reject_with_pause(self) -> None:
        self._hold_mode("pause", self._environment.rng.uniform(*LONG_FAULT_S))

    def _name_limits_until(self, end_s: float) -> None:
        """Let servers name limits, at times all servers of a service."""
        rng = self._limit_rng
        while time.monotonic() < end_s:
            backends = [rng.choice(self._environment.backends)]
            if rng.random() < ALL_LIMITED_RATIO:
                service = backends[0].service
                backends = [
                    b for b in self._environment.backends if b.service == service
                ]
            for _ in range(rng.choice((1, 1, 2, 3))):
                per_s = rng.choice(LIMITS_PER_S)
                self._set_limits(backends, per_s)
                gevent.sleep(rng.uniform(*LIMIT_DURATION_S))
            self._set_limits(backends, math.inf)
            gevent.sleep(rng.uniform(0.0, 2.0))

    def _poison_until(self, end_s: float) -> None:
        """Let one prompt segment after the other crash engines."""
        rng = self._poison_rng
        poison = self._environment.poison
        number = 0
        while time.monotonic() < end_s:
            gevent.sleep(rng.uniform(0.5, 4.0))
            number += 1
            self._note(f"segment {number} crashes engines")
            poison.begin(f"bad{number}")
            client = PoisonClient(self._environment, POISON_CLIENT_NUMBER)
            client.start()
            gevent.sleep(rng.uniform(*POISON_DURATION_S))
            poison.end()

    def _restore_until(self, end_s: float) -> None:
        """Restore the store from backups of some seconds ago."""
        rng = self._restore_rng
        environment = self._environment
        while time.monotonic() < end_s:
            backup = environment.store.back_up()
            gevent.sleep(rng.uniform(*BACKUP_AGE_S))
            self._note("store restored from a backup")
            environment.store.faults = StoreFaults("silent")
            self._hold_store(rng.uniform(0.1, 2.0))
            environment.store.restore(backup)
            environment.store.faults = StoreFaults()
            self._hold_store(rng.uniform(0.0, MAX_REWRITE_S))
            environment.write_again()
            environment.store_disturbed_s = time.monotonic()
            gevent.sleep(rng.uniform(0.0, 6.0))

    def _set_limits(self, backends: list[BackendStandIn], per_s: float) -> None:
        for backend in backends:
            self._note(f"{backend.id} names a limit of {per_s:g} a second")
            backend.limit.name(per_s, time.monotonic())

    def _send_endless(self) -> None:
        self._hold_mode("endless", self._environment.rng.uniform(*LONG_FAULT_S))

    def _hold_mode(self, mode: str, duration_s: float) -> None:
        """Put a backend server into a failure mode for some time."""
        backend = self._random_backend()
        self._note(f"{backend.id} in mode {mode}")
        backend.mode = mode
        gevent.sleep(duration_s)
        backend.mode = ""

    def _lose_commands(self) -> None:
        self._environment.command_fault = self._environment.rng.choice(("lost", "late"))
        self._note(f"commands {self._environment.command_fault}")
        gevent.sleep(self._random_duration_s(4.0))
        self._environment.command_fault = ""

    def _change_config(self) -> None:
        without = self._environment.rng.choice(("", "", "r-call"))
        self._note(f"configuration without route {without or '(none)'}")
        self._environment.put_config(KEYS, without)

    def _revoke_keys(self, duration_s: float = 0.0) -> None:
        self._note("revoke an API key")
        self._environment.put_config(KEYS[:1])
        gevent.sleep(duration_s or self._random_duration_s(9.0))
        self._environment.put_config(KEYS)

    def _revoke_keys_during_partition(self) -> None:
        """Revoke a key while one node is partitioned from the store."""
        cut = gevent.spawn(self._partition_from_store, PARTITION_S)
        gevent.sleep(1.0)
        self._revoke_keys(PARTITION_S)
        cut.join()

    def _evacuate(self) -> None:
        zone = self._environment.rng.choice(DATA_CENTRES)
        if self._environment.evacuated_s:
            return
        self._note(f"evacuate {zone}")
        self._environment.evacuate(zone, True)
        gevent.sleep(self._random_duration_s(8.0))
        self._environment.evacuate(zone, False)
