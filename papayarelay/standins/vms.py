"""Simulated VM list of the platform, with a propagation lag."""

from __future__ import annotations

import time
from collections import deque

import msgspec

from .server import Faults, StandIn, json_response

STATES = ("live", "leaving")
PATH = "/vms/"


class Vm(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One VM; ``state`` is ``live`` or ``leaving``."""

    name: str
    address: str
    data_centre: str
    region: str
    state: str = "live"

    def __post_init__(self):
        if self.state not in STATES:
            raise ValueError(f"state {self.state!r} is not one of {STATES}")


class VmListFaults(Faults, forbid_unknown_fields=True):
    """Faults of the list: changes become visible after ``lag_s``."""

    lag_s: float = 0.0


class VmListStandIn(StandIn):
    """Serves ``GET /vms``, ``PUT /vms/<name>`` and ``DELETE /vms/<name>``."""

    def __init__(self, listen: str = "127.0.0.1:0", lag_s: float = 0.0):
        super().__init__(listen, VmListFaults(lag_s=lag_s))
        self.routes["GET", "/vms"] = self._serve_list
        self._vms: dict[str, Vm] = {}
        self._lists: deque[tuple[float, list[Vm]]] = deque([(time.monotonic(), [])])

    def put(self, vm: Vm) -> None:
        """Add or replace a VM."""
        self._vms[vm.name] = vm
        self._record_change()

    def remove(self, name: str) -> bool:
        """Remove a VM; return whether it was listed."""
        found = self._vms.pop(name, None) is not None
        self._record_change()
        return found

    def read(self, now_s: float) -> list[Vm]:
        """Return the list visible at a monotonic time."""
        visible_s = now_s - self.faults.lag_s
        while len(self._lists) > 1 and self._lists[1][0] <= visible_s:
            self._lists.popleft()
        return self._lists[0][1]

    def serve_unrouted(self, environ, start_response):
        """Handle PUT and DELETE of a VM."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        name = path.removeprefix(PATH)
        if not path.startswith(PATH) or not name or method not in {"PUT", "DELETE"}:
            return super().serve_unrouted(environ, start_response)
        if method == "PUT":
            body = msgspec.json.decode(environ["wsgi.input"].read())
            self.put(msgspec.convert({**body, "name": name}, Vm))
            return json_response(start_response, "200 OK", self._vms[name])
        status = "200 OK" if self.remove(name) else "404 Not Found"
        return json_response(start_response, status, {})

    def _serve_list(self, environ, start_response):
        rejection = self.inject_faults(environ, start_response)
        if rejection:
            return rejection
        return json_response(start_response, "200 OK", self.read(time.monotonic()))

    def _record_change(self) -> None:
        self._lists.append((time.monotonic(), list(self._vms.values())))
