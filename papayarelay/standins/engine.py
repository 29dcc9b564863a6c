"""Simulated model engine: an OpenAI-compatible HTTP API in front of EngineModel."""

from __future__ import annotations

import random
import time
import uuid
from collections import Counter
from urllib.parse import parse_qs

import gevent
import msgspec
from gevent.event import Event

from ..cost import estimate_tokens
from .answers import Answer, digest_of, prefix_of, prompt_of
from .engine_faults import EngineFaults
from .model import EngineModel, EngineRefusedError, EngineSettings, FinishEvent
from .orders import Order
from .server import StandIn, answer_error, answer_json, read_json
from .streams import (
    CANCELLED,
    DISCONNECTED,
    STREAM_FAULTS,
    EndedError,
    Stream,
    StreamFaults,
)

DEFAULT_MAX_TOKENS = 16
DEFAULT_DEADLINE_S = 3600.0
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
UNAVAILABLE = "503 Service Unavailable"
REFUSALS = {
    "starting": (UNAVAILABLE, "the engine is starting"),
    "memory": ("400 Bad Request", "the prompt does not fit into the KV cache"),
    "not_cached": ("404 Not Found", "the prefix is not in the KV cache"),
}


class BlocksRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a KV export or import: block hashes, or a prompt to compute them from."""

    owner: str
    ttl_s: float
    blocks: list[str] | None = None
    prompt: str | None = None


class ReleaseRequest(msgspec.Struct, forbid_unknown_fields=True):
    """Body of a release of exported or imported KV blocks."""

    hold: str
    owner: str


class EngineStandIn(StandIn):
    """HTTP server that streams ``w<i>:<digest>`` tokens as EngineModel generates them.

    ``submissions`` counts accepted requests by request id.
    """

    def __init__(
        self,
        listen: str = "127.0.0.1:0",
        settings: EngineSettings | None = None,
        seed: int = 1,
    ):
        settings = settings or EngineSettings()
        faults = EngineFaults(
            report_lag_s=settings.report_lag_s,
            event_lag_s=settings.event_lag_s,
            event_gap=settings.event_gap,
        )
        super().__init__(listen, faults)
        self.model = EngineModel(settings, random.Random(seed), self.boot_id)
        self.submissions: Counter[str] = Counter()
        self._streams: dict[str, Stream] = {}
        self._wake = Event()
        self._runner: gevent.Greenlet | None = None
        self._falls = 0
        self.routes |= {
            ("POST", CHAT_PATH): self._serve_answer,
            ("POST", COMPLETION_PATH): self._serve_answer,
            ("GET", "/v1/models"): self._serve_models,
            ("POST", "/v1/cancel"): self._serve_cancel,
            ("GET", "/load"): self._serve_load,
            ("GET", "/events"): self._serve_events,
            ("GET", "/orders"): self._serve_orders,
            ("POST", "/orders"): self._serve_order,
            ("POST", "/kv/export"): self._serve_export,
            ("POST", "/kv/import"): self._serve_import,
            ("POST", "/kv/release"): self._serve_release,
            ("GET", "/requests"): self._serve_requests,
        }

    def start(self) -> None:
        """Start listening and run the engine model in the background."""
        super().start()
        self._runner = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop the engine and break its open streams, as a crash does.

        A later ``start`` begins cold and with a new boot id.
        """
        if self._runner is not None:
            self._runner.kill()
            self._runner = None
            self._streams.clear()
            self.model.fall_over(time.monotonic())
            self._falls = self.model.falls
        super().close()

    def cancel(self, request_id: str) -> bool:
        """Cancel all streams of a request; return whether there were any."""
        streams = [
            stream
            for stream in self._streams.values()
            if stream.answer.request_id == request_id
        ]
        for stream in streams:
            self._end(stream, CANCELLED)
        return bool(streams)

    def apply_faults(self) -> None:
        """Apply the fault settings; run the one-shot faults and clear them."""
        faults, now_s = self.faults, time.monotonic()
        self.model.speed = 1.0 / faults.slow
        self.model.reports.set_lag(faults.report_lag_s, now_s)
        self.model.cache_log.lag_s = faults.event_lag_s
        self.model.cache_log.gap = faults.event_gap
        self.model.occupy(faults.memory_tokens, now_s)
        if faults.turn_cold or faults.turn_cold_unreported:
            reported = not faults.turn_cold_unreported
            faults.turn_cold = faults.turn_cold_unreported = False
            self.model.turn_cold(now_s, reported=reported)
        if faults.kill:
            faults.kill = False
            self.model.fall_over(now_s)
        super().apply_faults()
        self._wake.set()

    def _run(self) -> None:
        while True:
            due_s = self.model.next_step_s()
            wait_s = None if due_s is None else due_s - time.monotonic()
            if wait_s is None or wait_s > 0:
                self._wake.wait(wait_s)
            self._wake.clear()
            for key, event in self.model.step(time.monotonic()):
                stream = self._streams.get(key)
                if stream is not None:
                    stream.put(event)
            if self.model.falls > self._falls:
                self._falls = self.model.falls
                self.cut_connections()
                self.refuse_connections(self.model.settings.restart_s)
            # Lets the stream greenlets send their tokens before the next iteration.
            gevent.sleep(0)

    def _end(self, stream: Stream, reason: str) -> None:
        if self._streams.pop(stream.key, None) is not None:
            self.model.cancel(stream.key)
            stream.put(FinishEvent(reason))
            self._wake.set()

    def _serve_answer(self, environ, start_response):
        body = read_json(environ)
        if not isinstance(body, dict):
            raise ValueError("body is not an object")
        refusal = self.meet_faults(environ, start_response)
        if refusal:
            return refusal
        if self._is_unknown(body.get("model", "")):
            message = "model not loaded"
            return answer_error(start_response, "404 Not Found", message, "no_model")
        try:
            stream = self._submit(environ, body, prompt_of(body))
        except EngineRefusedError as error:
            return _answer_refusal(start_response, error)
        if body.get("stream"):
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return self._chunks(stream)
        return self._whole(stream, start_response)

    def _is_unknown(self, model: str) -> bool:
        """Return whether a model is not loaded; an empty list accepts every name."""
        return bool(self.model.settings.models) and (
            model not in self.model.orders.models
        )

    def _submit(self, environ, body: dict, prompt: str) -> Stream:
        request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        data = prompt.encode()
        answer = Answer(
            request_id,
            digest_of(request_id, prompt),
            environ["PATH_INFO"] == CHAT_PATH,
            body.get("model", ""),
            estimate_tokens(len(data)),
        )
        resume_from = int(environ.get("HTTP_X_RESUME_FROM", 0))
        limit = body.get("max_completion_tokens") or body.get("max_tokens")
        max_tokens = int(limit or DEFAULT_MAX_TOKENS)
        if resume_from < 0 or max_tokens < 1:
            raise ValueError("token counts out of range")
        deadline_ms = environ.get("HTTP_X_DEADLINE_MS", DEFAULT_DEADLINE_S * 1000)
        now_s = time.monotonic()
        stream = Stream(
            answer,
            resume_from,
            environ=environ,
            frozen=self._frozen,
            find_other=self._find_other,
        )
        self.submissions[request_id] += 1
        self.model.submit(
            stream.key,
            answer.prompt_tokens,
            max_tokens,
            int(environ.get("HTTP_X_PRIORITY", 1)),
            prefix_of(data, self.model.settings.block_tokens),
            now_s,
            resume_from=resume_from,
            end_s=now_s + float(deadline_ms) / 1000,
        )
        stream.faults = self._choose_faults()
        self._streams[stream.key] = stream
        self._wake.set()
        return stream

    def _choose_faults(self) -> StreamFaults:
        names = frozenset(name for name in STREAM_FAULTS if self.faults.hits(name))
        faults = self.faults
        return StreamFaults(
            names, faults.fault_after, faults.break_after, faults.late_s
        )

    def _find_other(self, request_id: str) -> Answer | None:
        """Return the answer of some other request in flight."""
        for stream in self._streams.values():
            if stream.answer.request_id != request_id:
                return stream.answer
        return None

    def _chunks(self, stream: Stream):
        watcher = stream.watch_disconnect(lambda: self._end(stream, DISCONNECTED))
        try:
            yield from stream.chunks()
        finally:
            watcher.close()
            self._end(stream, DISCONNECTED)

    def _whole(self, stream: Stream, start_response):
        watcher = stream.watch_disconnect(lambda: self._end(stream, DISCONNECTED))
        try:
            return answer_json(start_response, "200 OK", stream.whole())
        except EndedError as error:
            return answer_error(start_response, UNAVAILABLE, str(error), error.reason)
        finally:
            watcher.close()
            self._end(stream, DISCONNECTED)

    def _serve_models(self, environ, start_response):
        models = sorted(self.model.orders.models)
        data = [{"id": name, "object": "model"} for name in models]
        body = {"object": "list", "data": data}
        return answer_json(start_response, "200 OK", body)

    def _serve_cancel(self, environ, start_response):
        found = self.cancel(read_json(environ)["id"])
        return answer_json(start_response, "200 OK", {"cancelled": found})

    def _serve_load(self, environ, start_response):
        if self.faults.hits("refuse_load"):
            return answer_error(start_response, UNAVAILABLE, "refused")
        report = self.model.load(time.monotonic())
        return answer_json(start_response, "200 OK", report)

    def _serve_events(self, environ, start_response):
        query = parse_qs(environ["QUERY_STRING"])
        after = int(query.get("after", ["0"])[0])
        events = self.model.cache_events(after, time.monotonic())
        body = {"boot_id": self.model.boot_id, "events": events}
        return answer_json(start_response, "200 OK", body)

    def _serve_orders(self, environ, start_response):
        orders = self.model.orders
        body = {
            "models": sorted(orders.models),
            "adapters": sorted(orders.adapters),
            "version": orders.version,
            "role": orders.role,
            "highest_fencing": orders.highest_fencing,
            "accepted": orders.accepted,
        }
        return answer_json(start_response, "200 OK", body)

    def _serve_order(self, environ, start_response):
        order = msgspec.convert(read_json(environ), Order)
        if not self.model.orders.apply(order):
            highest = self.model.orders.highest_fencing
            message = f"fencing token {order.fencing} is below {highest}"
            return answer_error(start_response, "409 Conflict", message, "fencing")
        return answer_json(start_response, "200 OK", {"accepted": True})

    def _serve_export(self, environ, start_response):
        return self._serve_blocks(environ, start_response, self.model.export_blocks)

    def _serve_import(self, environ, start_response):
        return self._serve_blocks(environ, start_response, self.model.import_blocks)

    def _serve_blocks(self, environ, start_response, take):
        request = msgspec.json.decode(environ["wsgi.input"].read(), type=BlocksRequest)
        blocks = request.blocks
        if blocks is None:
            prompt = (request.prompt or "").encode()
            blocks = prefix_of(prompt, self.model.settings.block_tokens)
        now_s = time.monotonic()
        try:
            hold = take(blocks, request.owner, now_s + request.ttl_s, now_s)
        except EngineRefusedError as error:
            return _answer_refusal(start_response, error)
        self._wake.set()
        body = {"hold": hold.id, "blocks": hold.blocks, "tokens": hold.tokens}
        return answer_json(start_response, "200 OK", body)

    def _serve_release(self, environ, start_response):
        body = environ["wsgi.input"].read()
        request = msgspec.json.decode(body, type=ReleaseRequest)
        found = self.model.release(request.hold, request.owner, time.monotonic())
        self._wake.set()
        return answer_json(start_response, "200 OK", {"released": found})

    def _serve_requests(self, environ, start_response):
        return answer_json(start_response, "200 OK", self.submissions)


def _answer_refusal(start_response, error: EngineRefusedError):
    status, message = REFUSALS[error.code]
    return answer_error(start_response, status, message, error.code)
