"""A part of a prompt crashes engines; all nodes are killed once and forget it."""

import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import TROUBLE, Channel, attempt_id, gevent, make_document, run_case

NODES = 6
ENGINES = 12
EVENTS = 12
READ_S = 0.15
DOWN_S = 3.0
CONTACT_S = 3.0
PART = "bad0bad0"
SOUND_INTERVAL_S = 0.1


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


class Case:
    """What servers and clients have seen."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.crashes = []
        self.arrivals = []
        self.sent = {}
        self.in_touch_from = {}
        self.results = {}
        self.names = 0

    def serve(self, server, request):
        """Answer as an engine that crashes when it begins to write on the part."""
        attempt = request.get(b"X-Attempt-Id").decode()
        prefix = (request.get(b"X-Prompt-Prefix") or b"").decode()
        harmful = PART in prefix
        now_s = time.monotonic()
        if harmful:
            self.arrivals.append((now_s, attempt))
            self.fleet.log(f"{server.id} gets {attempt} with the harmful part")
        lifetime = server.id
        gevent.sleep(READ_S)
        if server.down or server.id != lifetime:
            return False
        if harmful:
            self.crash(server, attempt)
            return False
        request.sock.sendall(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: s.0\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            % attempt.encode()
        )
        first = int(request.get(b"Last-Event-Id") or b"0") + 1
        for number in range(first, EVENTS + 1):
            gevent.sleep(0.03)
            piece = event(number)
            request.sock.sendall(b"%x\r\n%s\r\n" % (len(piece), piece))
        request.sock.sendall(b"0\r\n\r\n")
        return None

    def crash(self, server, attempt):
        if server.down:
            return
        server.down = True
        self.crashes.append(time.monotonic())
        lost = len(server._raw.sockets)
        self.fleet.log(f"{server.id} crashes of {attempt}, with {lost} channels")
        server.crash()

        def back():
            gevent.sleep(DOWN_S)
            self.names += 1
            self.fleet.store.remove("servers", server.id)
            server.down = False
            server.restart(f"{server.id.partition('-')[0]}-{self.names}")

        gevent.spawn(back)

    def send(self, node, prefix):
        attempt = attempt_id()
        self.sent[attempt] = (time.monotonic(), node)
        fields = {
            "X-Token-Counts": "1000,50",
            "X-Model": "m",
            "X-Prompt-Prefix": f"{prefix},{attempt[:8]}:900",
        }
        status = 0
        if PART in prefix:
            self.fleet.log(f"client sends {attempt} with the part to {node.name}")
        try:
            status, _, _ = Channel(node).request(
                "POST", f"/stream/{attempt}", attempt, 10.0, fields, b"prompt"
            )
        except OSError:
            pass
        self.results[attempt] = status
        if PART in prefix:
            self.fleet.log(f"client gets {status or 'no answer'} for {attempt}")

    def batch(self):
        """Send one request with the harmful part to each node."""
        for node in self.fleet.nodes:
            gevent.spawn(self.send, node, f"5a5a:40,{PART}:60")

    def sound(self):
        number = 0
        while True:
            number += 1
            node = self.fleet.nodes[number % NODES]
            gevent.spawn(self.send, node, f"5a5a:40,c{number % 9}:60")
            gevent.sleep(SOUND_INTERVAL_S)

    def kill_all(self):
        for node in self.fleet.nodes:
            node.signal(signal.SIGKILL)
        for node in self.fleet.nodes:
            node.popen.wait()
        self.fleet.log("all node processes are killed at the same moment")
        gevent.sleep(0.5)
        for node in self.fleet.nodes:
            node.start()
        begun_s = time.monotonic()
        for node in self.fleet.nodes:
            self.in_touch_from[node.name] = begun_s + CONTACT_S
        self.fleet.log("all node processes start again")
        self.fleet.wait_ready(self.fleet.nodes)
        gevent.sleep(max(0.0, begun_s + CONTACT_S + 2.0 - time.monotonic()))

    def counted(self):
        """Return arrivals of requests sent in touch, late enough after 5 crashes."""
        if len(self.crashes) < 5:
            return []
        from_s = sorted(self.crashes)[4] + CONTACT_S
        return [
            (at_s, attempt)
            for at_s, attempt in self.arrivals
            if at_s > from_s and self.in_touch(attempt)
        ]

    def in_touch(self, attempt):
        sent_s, node = self.sent[attempt]
        return sent_s >= self.in_touch_from.get(node.name, 0.0)


def play(fleet) -> bool:
    document = make_document()
    route = {**document["routes"][0], "service": "model", "traffic_split": []}
    fleet.put_document(routes=[route, document["routes"][1]])
    case = Case(fleet)
    for number in range(ENGINES):
        fleet.add_server(f"e{number}", "model", "abc"[number % 3], case.serve)
    fleet.start_nodes(NODES)
    gevent.sleep(4.0)
    gevent.spawn(case.sound)
    gevent.sleep(3.0)
    for _ in range(3):
        case.batch()
        gevent.sleep(6.0)
    fleet.log(f"{len(case.crashes)} crashes so far")
    before = len(case.counted())
    if TROUBLE:
        case.kill_all()
    else:
        gevent.sleep(6.0)
    for _ in range(2):
        case.batch()
        gevent.sleep(6.0)
    counted = case.counted()
    text = (
        f"{len(case.crashes)} crashes, {len(case.arrivals)} requests with the part "
        f"reached engines; later than contact_ms after the fifth crash, from nodes in "
        f"touch: {before} before the kill, {len(counted)} in all (3 are allowed)"
    )
    fleet.log(text)
    print(text)
    return len(counted) > 3


run_case(str(Path(__file__).resolve().parent), play)
