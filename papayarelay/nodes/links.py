"""Links between nodes: one listening socket, one dialled socket per peer.

A link carries frames in one direction; the peer dials its own link for the
other one, so each side can replace a connection that no longer carries data.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
import gevent.event
import logbook
import pynng
from gevent.socket import wait_read
from pynng.nng import ffi, lib

log = logbook.Logger(__name__)

# The receiving socket drops a connection that announces a longer message.  Frames
# between the codec's limit and this one are rejected and counted by the codec.
MAX_RECEIVE_BYTES = 65_536
RECEIVE_BURST = 64
CONNECT_WAIT_S = 0.5
# The default of nng, 100 ms, costs 1 KB/s for each peer that is down.
RECONNECT_MIN_MS = 500
RECONNECT_MAX_MS = 8_000


@dataclass(frozen=True)
class LinkTiming:
    """Intervals of a link in seconds."""

    # Longest interval between two frames.
    heartbeat_s: float = 2.0
    # Load records are batched for this long.
    batch_s: float = 1.25
    # An open link whose frames are not acknowledged for this long is redialled.
    idle_limit_s: float = 5.0
    # Upper limit of the backoff between dials of a link that stays silent.
    redial_limit_s: float = 30.0


def _remove_pipe_callbacks(socket: pynng.Socket) -> pynng.Socket:
    """Remove the pipe callbacks, which would run Python in threads of nng.

    They take a lock that gevent has patched, and a foreign thread must not wait
    for such a lock.
    """
    events = (
        lib.NNG_PIPE_EV_ADD_PRE,
        lib.NNG_PIPE_EV_ADD_POST,
        lib.NNG_PIPE_EV_REM_POST,
    )
    for event in events:
        pynng.exceptions.check_err(
            lib.nng_pipe_notify(socket.socket, event, ffi.NULL, ffi.NULL)
        )
    return socket


class Listener:
    """Receives frames from all peers on one address."""

    def __init__(self, address: str, on_frame: Callable[[bytes], None]):
        self._address = address
        self._on_frame = on_frame
        self._socket: pynng.Pull0 | None = None
        self._task: gevent.Greenlet | None = None
        self.address = ""

    def start(self) -> None:
        """Listen; ``address`` then holds the host and the port."""
        self._socket = _remove_pipe_callbacks(
            pynng.Pull0(recv_max_size=MAX_RECEIVE_BYTES)
        )
        # Keepalive detects half-open connections of peers that are gone.
        self._socket.tcp_keepalive = True
        listener = self._socket.listen(f"tcp://{self._address}")
        self.address = str(listener.local_address)
        self._task = gevent.spawn(self._run, self._socket)

    def close(self) -> None:
        """Stop listening."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def _run(self, socket: pynng.Pull0) -> None:
        receive_fd = socket.recv_fd
        while True:
            wait_read(receive_fd)
            for _ in range(RECEIVE_BURST):
                try:
                    data = socket.recv(block=False)
                except pynng.TryAgain:
                    break
                self._deliver(data)
            gevent.sleep(0)

    def _deliver(self, data: bytes) -> None:
        try:
            self._on_frame(data)
        except Exception:
            # An error in a handler must not end the receive loop.
            log.exception("frame handler failed")


class Link:
    """The connection to one peer, with the task that sends on it.

    ``next_frame`` returns a frame or None.  ``on_sent`` is called with whether the
    socket accepted the frame, ``on_redial`` at each dial: frames that were not
    acknowledged may be lost.
    """

    def __init__(
        self,
        name: str,
        address: str,
        timing: LinkTiming,
        *,
        next_frame: Callable[[Link, float], bytes | None],
        on_sent: Callable[[Link, bool], None],
        clock: Callable[[], float],
        rng: random.Random,
        on_redial: Callable[[Link], None],
    ):
        self.name = name
        self.address = address
        self.timing = timing
        self._next_frame = next_frame
        self._on_sent = on_sent
        self._on_redial = on_redial
        self._clock = clock
        self._rng = rng
        self._socket: pynng.Push0 | None = None
        self._task: gevent.Greenlet | None = None
        self._wake = gevent.event.Event()
        # A random phase keeps nodes from sending in lockstep.
        self._next_s = clock() + rng.uniform(0, timing.heartbeat_s / 2)
        self._silence_limit_s = timing.idle_limit_s
        self.started_s = clock()
        self.dialled_s = -math.inf
        self.sent_s = -math.inf
        self.acknowledged_s = -math.inf
        self.dials = 0

    def start(self) -> None:
        """Start dialling and sending."""
        self._task = gevent.spawn(self._run)

    def close(self) -> None:
        """Close the connection."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._close_socket()

    def wake(self, within_s: float = 0.0) -> None:
        """Schedule a frame within the given time."""
        due_s = self._clock() + within_s
        if due_s < self._next_s:
            self._next_s = due_s
            self._wake.set()

    def acknowledged(self, now_s: float) -> None:
        """Record that the peer has acknowledged a new frame of this link."""
        self.acknowledged_s = now_s
        self._silence_limit_s = self.timing.idle_limit_s

    def silent_s(self, now_s: float) -> float:
        """Return the time since the last acknowledgement or dial."""
        return now_s - max(self.dialled_s, self.acknowledged_s)

    def _run(self) -> None:
        while True:
            try:
                self._step(self._clock())
            except Exception:
                # An invalid peer address must not end the task of the link.
                log.exception(f"link to {self.name} failed")
                gevent.sleep(self.timing.heartbeat_s)
            self._wake.wait(timeout=max(0.0, self._next_s - self._clock()))
            self._wake.clear()

    def _step(self, now_s: float) -> None:
        if self._socket is None or self.silent_s(now_s) > self._silence_limit_s:
            self._redial(now_s)
        if now_s >= self._next_s:
            self._next_s = now_s + self.timing.heartbeat_s
            self._send(now_s)

    def _send(self, now_s: float) -> None:
        frame = self._next_frame(self, now_s)
        if frame is None:
            return
        sent = self._try_send(frame)
        if not sent:
            try:
                wait_read(self._socket.send_fd, timeout=CONNECT_WAIT_S)
            except TimeoutError:
                pass
            else:
                sent = self._try_send(frame)
        if sent:
            self.sent_s = now_s
        self._on_sent(self, sent)

    def _try_send(self, frame: bytes) -> bool:
        try:
            self._socket.send(frame, block=False)
        except pynng.TryAgain:
            return False
        return True

    def _redial(self, now_s: float) -> None:
        if self._socket is not None:
            doubled_s = 2 * self._silence_limit_s
            self._silence_limit_s = min(doubled_s, self.timing.redial_limit_s)
        self._close_socket()
        self.dialled_s = now_s
        self.dials += 1
        self._next_s = now_s
        self._on_redial(self)
        self._socket = _remove_pipe_callbacks(
            pynng.Push0(
                reconnect_time_min=RECONNECT_MIN_MS, reconnect_time_max=RECONNECT_MAX_MS
            )
        )
        self._socket.tcp_nodelay = True
        self._socket.dial(f"tcp://{self.address}", block=False)

    def _close_socket(self) -> None:
        if self._socket is not None:
            self._socket.close()
            self._socket = None
