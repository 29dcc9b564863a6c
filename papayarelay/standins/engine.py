"""Stand-in of a model engine: OpenAI-compatible HTTP in front of EngineModel."""

from __future__ import annotations

import hashlib
import time
import uuid
from collections import deque

import gevent
import msgspec
from gevent.event import Event

from ..cost import estimate_tokens
from .model import EngineModel, EngineSettings, FinishEvent, TokenEvent
from .server import StandIn, answer_json, read_json

KEEP_ALIVE_INTERVAL_S = 1.0
KEEP_ALIVE_LINE = b": keep-alive\n\n"
DONE_LINE = b"data: [DONE]\n\n"
DEFAULT_MAX_TOKENS = 16
BLOCK_BYTES = 1024
COMPLETION_PATHS = {
    "/v1/chat/completions": "chat.completion",
    "/v1/completions": "text_completion",
}


def digest_of(request_id: str, prompt: str) -> str:
    """Return the digest that each token of the answer carries."""
    return hashlib.sha256(f"{request_id}\n{prompt}".encode()).hexdigest()[:8]


def prompt_of(body: dict) -> str:
    """Return the text of the prompt of either protocol.

    Raises KeyError, TypeError or AttributeError for a malformed body.
    """
    if "messages" not in body:
        prompt = body["prompt"]
        return prompt if isinstance(prompt, str) else "\n".join(prompt)
    contents = (message["content"] for message in body["messages"])
    return "\n".join(
        text if isinstance(text, str) else "".join(part["text"] for part in text)
        for text in contents
    )


def prefix_of(prompt: bytes) -> list[str]:
    """Return chained hashes of the full blocks of the prompt."""
    chain = hashlib.sha256()
    blocks = []
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        chain.update(prompt[start : start + BLOCK_BYTES])
        blocks.append(chain.hexdigest()[:16])
    return blocks


class _Stream:
    """A request that waits for events of the model."""

    def __init__(self, request_id: str, key: str, digest: str, chat: bool, model: str):
        self.request_id = request_id
        self.key = key
        self.digest = digest
        self.chat = chat
        self.model = model
        self.prompt_tokens = 0
        self.resume_from = 0
        self.events: deque = deque()
        self.ready = Event()

    def put(self, event) -> None:
        self.events.append(event)
        self.ready.set()

    def take(self, timeout_s: float | None):
        """Return the next event, None after the timeout."""
        if not self.events:
            self.ready.clear()
            if not self.ready.wait(timeout_s):
                return None
        return self.events.popleft()


class EngineStandIn(StandIn):
    """An engine that answers ``w<i>:<digest>`` tokens at the model's pace."""

    def __init__(
        self, listen: str = "127.0.0.1:0", settings: EngineSettings | None = None
    ):
        super().__init__(listen)
        self.model = EngineModel(settings)
        self._streams: dict[str, _Stream] = {}
        self._wake = Event()
        self._runner: gevent.Greenlet | None = None

    def start(self) -> None:
        """Listen and run the model in the background."""
        super().start()
        self._runner = gevent.spawn(self._run)

    def close(self) -> None:
        """Stop the engine; open streams break."""
        if self._runner is not None:
            self._runner.kill()
            self._runner = None
        super().close()

    def application(self, environ, start_response):
        """Answer one request (WSGI)."""
        path = environ["PATH_INFO"]
        if path in COMPLETION_PATHS:
            return self._complete(environ, start_response)
        if path == "/v1/cancel":
            found = self._cancel(read_json(environ)["id"])
            return answer_json(start_response, "200 OK", {"cancelled": found})
        if path == "/load":
            report = self.model.load(time.monotonic())
            return answer_json(start_response, "200 OK", report)
        return answer_json(start_response, "404 Not Found", {"error": "no such path"})

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
            # The streams write their tokens before the next step.
            gevent.sleep(0)

    def _cancel(self, request_id: str) -> bool:
        found = False
        for stream in list(self._streams.values()):
            if stream.request_id == request_id:
                found |= self.model.cancel(stream.key)
                stream.put(FinishEvent("cancelled"))
        return found

    def _complete(self, environ, start_response):
        body = read_json(environ)
        try:
            prompt = prompt_of(body)
        except (KeyError, TypeError, AttributeError):
            error = {"error": {"message": "malformed prompt", "code": "invalid"}}
            return answer_json(start_response, "400 Bad Request", error)
        stream = self._submit(environ, body, prompt)
        if body.get("stream"):
            start_response("200 OK", [("Content-Type", "text/event-stream")])
            return self._chunks(stream)
        return self._whole(stream, start_response)

    def _submit(self, environ, body: dict, prompt: str) -> _Stream:
        request_id = environ.get("HTTP_X_REQUEST_ID") or uuid.uuid4().hex
        chat = environ["PATH_INFO"] == "/v1/chat/completions"
        # A resumed request may reach the engine before it sees the old stream break.
        key = f"{request_id}#{uuid.uuid4().hex}"
        digest = digest_of(request_id, prompt)
        stream = _Stream(request_id, key, digest, chat, body.get("model", ""))
        data = prompt.encode()
        stream.prompt_tokens = estimate_tokens(len(data))
        stream.resume_from = int(environ.get("HTTP_X_RESUME_FROM", 0))
        maximum = body.get("max_completion_tokens") or body.get("max_tokens")
        self.model.submit(
            key,
            stream.prompt_tokens,
            maximum or DEFAULT_MAX_TOKENS,
            int(environ.get("HTTP_X_PRIORITY", 1)),
            prefix_of(data),
            time.monotonic(),
            resume_from=stream.resume_from,
        )
        self._streams[key] = stream
        self._wake.set()
        return stream

    def _forget(self, stream: _Stream) -> None:
        if self._streams.pop(stream.key, None) is not None:
            self.model.cancel(stream.key)

    def _chunks(self, stream: _Stream):
        head, middle, tail = _chunk_parts(stream)
        timeout_s = KEEP_ALIVE_INTERVAL_S
        offset = stream.resume_from
        try:
            yield KEEP_ALIVE_LINE
            while True:
                event = stream.take(timeout_s)
                if event is None:
                    yield KEEP_ALIVE_LINE
                elif type(event) is TokenEvent:
                    timeout_s = None
                    offset = event.offset + 1
                    yield b"%s%d%s%s%s" % (
                        head,
                        event.offset,
                        middle,
                        _token(event.offset, stream.digest),
                        tail,
                    )
                else:
                    yield _final_chunk(stream, offset, event.reason)
                    yield DONE_LINE
                    return
        finally:
            self._forget(stream)

    def _whole(self, stream: _Stream, start_response):
        tokens = []
        reason = None
        try:
            while reason is None:
                event = stream.take(None)
                if type(event) is TokenEvent:
                    tokens.append(_token(event.offset, stream.digest).decode())
                else:
                    reason = event.reason
        finally:
            self._forget(stream)
        text = "".join(tokens)
        choice = {"index": 0, "finish_reason": reason}
        if stream.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = {
            "id": stream.request_id,
            "object": "chat.completion" if stream.chat else "text_completion",
            "created": int(time.time()),
            "model": stream.model,
            "offset": stream.resume_from,
            "choices": [choice],
            "usage": _usage(stream, stream.resume_from + len(tokens)),
        }
        return answer_json(start_response, "200 OK", answer)


def _token(offset: int, digest: str) -> bytes:
    separator = " " if offset else ""
    return f"{separator}w{offset}:{digest}".encode()


def _usage(stream: _Stream, completion_tokens: int) -> dict:
    return {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": completion_tokens,
        "total_tokens": stream.prompt_tokens + completion_tokens,
    }


def _chunk_head(stream: _Stream, request_id: str) -> dict:
    kind = "chat.completion.chunk" if stream.chat else "text_completion"
    return {
        "id": request_id,
        "object": kind,
        "created": int(time.time()),
        "model": stream.model,
    }


def _chunk_parts(stream: _Stream) -> tuple[bytes, bytes, bytes]:
    """Return the bytes of a token chunk before and after its offset and text."""
    head = msgspec.json.encode(_chunk_head(stream, stream.request_id))
    head = b"data: " + head[:-1] + b',"offset":'
    if stream.chat:
        middle = b',"choices":[{"index":0,"delta":{"content":"'
        return head, middle, b'"},"finish_reason":null}]}\n\n'
    middle = b',"choices":[{"index":0,"text":"'
    return head, middle, b'","finish_reason":null}]}\n\n'


def _final_chunk(stream: _Stream, offset: int, reason: str) -> bytes:
    body = {"delta": {}} if stream.chat else {"text": ""}
    chunk = {
        **_chunk_head(stream, stream.request_id),
        "offset": offset,
        "choices": [{"index": 0, **body, "finish_reason": reason}],
        "usage": _usage(stream, offset),
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"
