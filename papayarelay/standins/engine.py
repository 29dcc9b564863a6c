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
from .commands import EngineCommand
from .engine_faults import EngineFaults
from .model import EngineModel, EngineRejectedError, EngineSettings, FinishEvent
from .server import StandIn, error_response, json_response, read_json
from .streams import (
    CANCELLED,
    DISCONNECTED,
    STREAM_FAULTS,
    IncompleteError,
    Stream,
    StreamFaults,
)

DEFAULT_MAX_TOKENS = 16
DEFAULT_DEADLINE_S = 3600.0
CHAT_PATH = "/v1/chat/completions"
COMPLETION_PATH = "/v1/completions"
UNAVAILABLE = "503 Service Unavailable"
REJECTIONS = {
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
        self._seen_crashes = 0
        self.routes |= {
            ("POST", CHAT_PATH): self._serve_completion,
            ("POST", COMPLETION_PATH): self._serve_completion,
            ("GET", "/v1/models"): self._serve_models,
            ("POST", "/v1/cancel"): self._serve_cancel,
            ("GET", "/load"): self._serve_load,
            ("GET", "/events"): self._serve_events,
            ("GET", "/orders"): self._serve_command_state,
            ("POST", "/orders"): self._serve_command,
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
            self.model.crash(time.monotonic())
            self._seen_crashes = self.model.crashes
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
            self.model.crash(now_s)
        super().apply_faults()
        self._wake.set()

    def _run(self) -> None:
        while True:
            due_s = self.model.next_event_s()
            wait_s = None if due_s is None else due_s - time.monotonic()
            if wait_s is None or wait_s > 0:
                self._wake.wait(wait_s)
            self._wake.clear()
            for key, event in self.model.step(time.monotonic()):
                stream = self._streams.get(key)
                if stream is not None:
                    stream.put(event)
            if self.model.crashes > self._seen_crashes:
                self._seen_crashes = self.model.crashes
                self.cut_connections()
                self.refuse_connections(self.model.settings.restart_s)
            # Lets the stream greenlets send their tokens before the next iteration.
            gevent.sleep(0)

    def _end(self, stream: Stream, reason: str) -> None:
        if self._streams.pop(stream.key, None) is not None:
            self.model.cancel(stream.key)
            stream.put(FinishEvent(reason))
            self._wake.set()

    def _serve_completion(self, environ, start_response):
        body = read_json(environ)
        if not isinstance(body, dict):
            raise ValueError("body is not an object")
        rejection = self.inject_faults(environ, start_response)
        if rejection:
            return rejection
        if self._is_missing_model(body.get("model", "")):
            message = "model not loaded"
            return error_response(start_response, "404 Not Found", message, "no_model")
        try:
            stream = self._submit(environ, body, prompt_of(body))
        except EngineRejectedError as error:
            return _rejection_response(start_response, error)
        if body.get("stream"):
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return self._stream_response(stream)
        return self._complete_response(stream, start_response)

    def _is_missing_model(self, model: str) -> bool:
        """Return whether a model is not loaded; an empty list accepts every name."""
        return bool(self.model.settings.models) and (
            model not in self.model.commands.models
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
        if self.faults.crash_on and self.faults.crash_on in prompt:
            self.model.crash(now_s)
        return stream

    def _choose_faults(self) -> StreamFaults:
        names = frozenset(name for name in STREAM_FAULTS if self.faults.consume(name))
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

    def _stream_response(self, stream: Stream):
        watcher = stream.watch_disconnect(lambda: self._end(stream, DISCONNECTED))
        try:
            yield from stream.chunks()
        finally:
            watcher.close()
            self._end(stream, DISCONNECTED)

    def _complete_response(self, stream: Stream, start_response):
        watcher = stream.watch_disconnect(lambda: self._end(stream, DISCONNECTED))
        try:
            return json_response(start_response, "200 OK", stream.complete_response())
        except IncompleteError as error:
            return error_response(start_response, UNAVAILABLE, str(error), error.reason)
        finally:
            watcher.close()
            self._end(stream, DISCONNECTED)

    def _serve_models(self, environ, start_response):
        models = sorted(self.model.commands.models)
        data = [{"id": name, "object": "model"} for name in models]
        body = {"object": "list", "data": data}
        return json_response(start_response, "200 OK", body)

    def _serve_cancel(self, environ, start_response):
        found = self.cancel(read_json(environ)["id"])
        return json_response(start_response, "200 OK", {"cancelled": found})

    def _serve_load(self, environ, start_response):
        if self.faults.consume("refuse_load"):
            return error_response(start_response, UNAVAILABLE, "refused")
        report = self.model.load(time.monotonic())
        return json_response(start_response, "200 OK", report)

    def _serve_events(self, environ, start_response):
        query = parse_qs(environ["QUERY_STRING"])
        after = int(query.get("after", ["0"])[0])
        events = self.model.cache_events(after, time.monotonic())
        body = {"boot_id": self.model.boot_id, "events": events}
        return json_response(start_response, "200 OK", body)

    def _serve_command_state(self, environ, start_response):
        commands = self.model.commands
        body = {
            "models": sorted(commands.models),
            "adapters": sorted(commands.adapters),
            "version": commands.version,
            "role": commands.role,
            "highest_fencing": commands.highest_fencing,
            "accepted": commands.accepted,
        }
        return json_response(start_response, "200 OK", body)

    def _serve_command(self, environ, start_response):
        command = msgspec.convert(read_json(environ), EngineCommand)
        if not self.model.commands.apply(command):
            highest = self.model.commands.highest_fencing
            message = f"fencing token {command.fencing} is below {highest}"
            return error_response(start_response, "409 Conflict", message, "fencing")
        return json_response(start_response, "200 OK", {"accepted": True})

    def _serve_export(self, environ, start_response):
        return self._serve_blocks(environ, start_response, self.model.export_blocks)

    def _serve_import(self, environ, start_response):
        return self._serve_blocks(environ, start_response, self.model.import_blocks)

    def _serve_blocks(self, environ, start_response, pin_blocks):
        request = msgspec.json.decode(environ["wsgi.input"].read(), type=BlocksRequest)
        blocks = request.blocks
        if blocks is None:
            prompt = (request.prompt or "").encode()
            blocks = prefix_of(prompt, self.model.settings.block_tokens)
        now_s = time.monotonic()
        try:
            hold = pin_blocks(blocks, request.owner, now_s + request.ttl_s, now_s)
        except EngineRejectedError as error:
            return _rejection_response(start_response, error)
        self._wake.set()
        body = {"hold": hold.id, "blocks": hold.blocks, "tokens": hold.tokens}
        return json_response(start_response, "200 OK", body)

    def _serve_release(self, environ, start_response):
        body = environ["wsgi.input"].read()
        request = msgspec.json.decode(body, type=ReleaseRequest)
        found = self.model.release(request.hold, request.owner, time.monotonic())
        self._wake.set()
        return json_response(start_response, "200 OK", {"released": found})

    def _serve_requests(self, environ, start_response):
        return json_response(start_response, "200 OK", self.submissions)


def _rejection_response(start_response, error: EngineRejectedError):
    status, message = REJECTIONS[error.code]
    return error_response(start_response, status, message, error.code)
