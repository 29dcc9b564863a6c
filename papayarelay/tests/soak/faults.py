"""Fault injection of the soak test: random, seeded, overlapping faults."""

from __future__ import annotations

import signal
import time

import gevent

from ..store_standin import StoreFaults
from .process import NodeProcess
from .world import DATA_CENTRES, KEYS, World

# Backend servers that are never disturbed, so that every service stays available.
SOUND = frozenset({"e0", "p0", "m0"})
# Longer than nodes accept API keys without contact to the store.
KEPT_AWAY_S = 8.0
MODES = ("hang", "refuse", "cut", "torn", "extra")
# Longer than a leaving server may still receive requests.
LONG_S = (4.0, 8.0)


class Injector:
    """Injects a random series of faults; ``log`` lists them."""

    def __init__(self, world: World):
        self.log: list[str] = []
        self._world = world
        self._begun_s = time.monotonic()
        self._faults = (
            self._kill,
            self._pause,
            self._stop,
            self._hang_up,
            self._store_fault,
            self._cut_from_store,
            self._forget_history,
            self._unreadable_rows,
            self._crash_backend,
            self._drain_backend,
            self._break_backend,
            self._leave_backend,
            self._turn_away,
            self._send_without_end,
            self._lose_orders,
            self._change_config,
            self._take_keys,
            self._take_keys_behind_a_cut,
            self._evacuate,
        )

    def run(self, length_s: float) -> None:
        """Inject faults for ``length_s``, then wait until all of them have ended."""
        tasks = []
        rng = self._world.rng
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            tasks.append(gevent.spawn(rng.choice(self._faults)))
            gevent.sleep(rng.uniform(0.1, 1.5))
        gevent.joinall(tasks)
        self._world.put_config(KEYS)

    def _note(self, text: str) -> None:
        self.log.append(f"{time.monotonic() - self._begun_s:.2f} {text}")

    def _node(self) -> NodeProcess:
        return self._world.rng.choice(self._world.nodes)

    def _some_s(self, most_s: float) -> float:
        return self._world.rng.uniform(0.2, most_s)

    def _kill(self) -> None:
        node = self._node()
        self._note(f"kill {node.name}")
        node.end()
        node.disturb()
        gevent.sleep(self._some_s(1.0))
        if not node.running:
            node.start()

    def _pause(self) -> None:
        node = self._node()
        length_s = self._some_s(4.0)
        self._note(f"pause {node.name} for {length_s:.1f} s")
        node.signal(signal.SIGSTOP)
        node.paused = True
        gevent.sleep(length_s)
        node.signal(signal.SIGCONT)
        node.paused = False
        node.disturb()

    def _stop(self) -> None:
        node = self._node()
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
            self._world.ledger.note(f"STOP {node.name} still running 8 s after SIGTERM")
        node.end()
        node.start()

    def _hang_up(self) -> None:
        node = self._node()
        self._note(f"SIGHUP {node.name}")
        popen, ready = node.popen, self._world.ready(node)
        node.signal(signal.SIGHUP)
        gevent.sleep(0.5)
        if popen is node.popen and not node.running:
            # SIGHUP ends a process that has not installed its handlers yet; the
            # platform restarts it.
            if ready:
                self._world.ledger.note(f"HUP {node.name} terminated by SIGHUP")
            node.start()

    def _store_fault(self) -> None:
        world = self._world
        mode = world.rng.choice(("busy", "many", "silent", "reset", "lost"))
        length_s = self._some_s(6.0)
        self._note(f"store {mode} for {length_s:.1f} s")
        world.store.faults = StoreFaults(mode, world.rng.choice((0.0, 0.3)))
        self._hold_store(length_s)
        world.store.faults = StoreFaults()

    def _hold_store(self, length_s: float) -> None:
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            self._world.store_disturbed_s = time.monotonic()
            gevent.sleep(0.1)
        self._world.store_disturbed_s = time.monotonic()

    def _cut_from_store(self, length_s: float = 0.0) -> None:
        node = self._node()
        mode = self._world.rng.choice(("silent", "one_way", "refuse"))
        length_s = length_s or self._some_s(8.0)
        self._note(
            f"{node.name} partitioned from the store ({mode}) for {length_s:.1f} s"
        )
        node.store.mode = mode
        if mode == "refuse":
            node.store.reset_all()
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s:
            node.disturb()
            gevent.sleep(0.1)
        node.store.mode = ""
        node.store.reset_all()
        node.disturb()

    def _forget_history(self) -> None:
        self._note("store truncates its history")
        self._world.store.drop_history()

    def _unreadable_rows(self) -> None:
        self._note("unreadable rows in the store")
        rows = self._world.store.rows
        rows.put("servers", "x", b"\xff\x00")
        rows.put("servers", "y", b'{"service": "model", "state": "odd"}')
        rows.put("op", "other", b"[]")

    def _backend(self):
        world = self._world
        some = [b for b in world.backends if b.id not in SOUND]
        return world.rng.choice(some)

    def _crash_backend(self) -> None:
        backend = self._backend()
        again = self._world.rng.choice((backend.id, f"{backend.id}x"))
        self._note(f"crash {backend.id}, restart as {again}")
        backend.crash()
        if again != backend.id:
            self._world.store.remove("servers", backend.id)
        gevent.sleep(self._some_s(3.0))
        try:
            backend.restart(again)
        except OSError:
            self._note(f"{again} could not bind its port")

    def _drain_backend(self) -> None:
        backend = self._backend()
        self._note(f"drain {backend.id}")
        backend.drain()
        gevent.sleep(self._some_s(6.0))
        backend.draining_s = None

    def _leave_backend(self) -> None:
        """Announce in responses that a server is leaving, but not in the store."""
        backend = self._backend()
        self._note(f"{backend.id} announces that it is leaving")
        backend.leaving = True
        gevent.sleep(self._world.rng.uniform(*LONG_S))
        if not backend.leaving:
            return
        backend.crash()
        gevent.sleep(0.1)
        try:
            backend.restart(backend.id)
        except OSError:
            self._note(f"{backend.id} could not bind its port")

    def _break_backend(self) -> None:
        self._hold_mode(self._world.rng.choice(MODES), self._some_s(4.0))

    def _turn_away(self) -> None:
        self._hold_mode("pause", self._world.rng.uniform(*LONG_S))

    def _send_without_end(self) -> None:
        self._hold_mode("endless", self._world.rng.uniform(*LONG_S))

    def _hold_mode(self, mode: str, length_s: float) -> None:
        """Put a backend server into a failure mode for some time."""
        backend = self._backend()
        self._note(f"{backend.id} in mode {mode}")
        backend.mode = mode
        gevent.sleep(length_s)
        backend.mode = ""

    def _lose_orders(self) -> None:
        self._world.orders = self._world.rng.choice(("lost", "late"))
        self._note(f"commands {self._world.orders}")
        gevent.sleep(self._some_s(4.0))
        self._world.orders = ""

    def _change_config(self) -> None:
        without = self._world.rng.choice(("", "", "r-call"))
        self._note(f"configuration without route {without or '(none)'}")
        self._world.put_config(KEYS, without)

    def _take_keys(self, length_s: float = 0.0) -> None:
        self._note("revoke an API key")
        self._world.put_config(KEYS[:1])
        gevent.sleep(length_s or self._some_s(9.0))
        self._world.put_config(KEYS)

    def _take_keys_behind_a_cut(self) -> None:
        """Revoke a key while one node is partitioned from the store."""
        cut = gevent.spawn(self._cut_from_store, KEPT_AWAY_S)
        gevent.sleep(1.0)
        self._take_keys(KEPT_AWAY_S)
        cut.join()

    def _evacuate(self) -> None:
        zone = self._world.rng.choice(DATA_CENTRES)
        if self._world.evacuated_s:
            return
        self._note(f"evacuate {zone}")
        self._world.evacuate(zone, True)
        gevent.sleep(self._some_s(8.0))
        self._world.evacuate(zone, False)
