"""HTTP client for demo, benchmarks and tests that verifies each response."""

from __future__ import annotations

import hashlib
import time
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec
import urllib3

CONNECT_TIMEOUT_S = 2.0


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = _Delta()
    finish_reason: str | None = None


class _Event(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    error: dict | None = None


_EVENT_DECODER = msgspec.json.Decoder(_Event)


@dataclass
class StreamedResponse:
    """Response to one request; times are in seconds since the request was sent."""

    status: int = 0
    request_id: str = ""
    text: str = ""
    first_token_s: float | None = None
    token_times_s: list[float] = field(default_factory=list)
    finished: bool = False
    error: dict | None = None

    def is_correct(self, prompt: str, tokens: int) -> bool:
        """Return whether the response is complete and belongs to this request."""
        expected = expected_tokens(self.request_id, prompt, tokens)
        return self.finished and self.text.split() == expected

    @property
    def outcome(self) -> str | None:
        """Return the outcome field of an error response."""
        return (self.error or {}).get("outcome")


def expected_tokens(request_id: str, prompt: str, tokens: int) -> list[str]:
    """Return the tokens that the simulated engine generates for a request."""
    text = f"{request_id}\n{prompt}".encode()
    digest = hashlib.sha256(text).hexdigest()[:8]
    return [f"w{index}:{digest}" for index in range(tokens)]


class Caller:
    """Client that sends requests to a node or directly to an engine."""

    def __init__(self, url: str, key: str, connections: int = 64):
        self._pool = urllib3.connection_from_url(
            url, maxsize=connections, block=False, retries=False
        )
        self._key = key

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def complete(
        self,
        model: str,
        prompt: str,
        tokens: int,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 120.0,
    ) -> StreamedResponse:
        """Send one streaming chat completion request and read its whole response."""
        body = msgspec.json.encode(
            {
                "model": model,
                "stream": True,
                "max_tokens": tokens,
                "messages": [{"role": "user", "content": prompt}],
            }
        )
        answer = StreamedResponse()
        started_s = time.monotonic()
        response = self._post("/v1/chat/completions", body, headers, timeout_s)
        try:
            answer.status = response.status
            if response.status != 200:
                answer.error = _read_error(response)
                return answer
            _read_events(response, answer, started_s)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            answer.error = {"message": type(error).__name__, "outcome": "unknown"}
        finally:
            if answer.finished:
                response.drain_conn()
                response.release_conn()
            else:
                response.close()
        return answer

    def call_service(
        self,
        kind: str,
        body: bytes,
        key: str | None,
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 60.0,
    ) -> tuple[int, dict]:
        """Call a plain service; return the HTTP status and the decoded JSON body."""
        headers = dict(headers or {}) | ({"Idempotency-Key": key} if key else {})
        response = self._post(f"/v1/services/{kind}", body, headers, timeout_s)
        try:
            return response.status, msgspec.json.decode(response.read())
        finally:
            response.release_conn()

    def _post(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str] | None,
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse:
        all_headers = {
            "Authorization": f"Bearer {self._key}",
            "Content-Type": "application/json",
            **(headers or {}),
        }
        return self._pool.urlopen(
            "POST",
            path,
            body=body,
            headers=all_headers,
            preload_content=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
        )


def _read_error(response: urllib3.BaseHTTPResponse) -> dict:
    try:
        return msgspec.json.decode(response.read())["error"]
    except (msgspec.MsgspecError, KeyError, TypeError):
        return {"message": f"status {response.status}"}


def _read_events(
    response: urllib3.BaseHTTPResponse, answer: StreamedResponse, started_s: float
) -> None:
    parts: list[str] = []
    buffer = b""
    while data := response.read1():
        buffer += data
        *events, buffer = buffer.split(b"\n\n")
        for event in events:
            _apply_event(event, answer, parts, time.monotonic() - started_s)
        if answer.finished or answer.error:
            break
    answer.text = "".join(parts)


def _apply_event(
    event: bytes, answer: StreamedResponse, parts: list[str], at_s: float
) -> None:
    if not event.startswith(b"data: "):
        return
    if event[6:] == b"[DONE]":
        answer.finished = True
        return
    payload = _EVENT_DECODER.decode(event[6:])
    if payload.error is not None:
        answer.error = payload.error
        return
    answer.request_id = payload.id
    content = payload.choices[0].delta.content if payload.choices else None
    if content:
        if answer.first_token_s is None:
            answer.first_token_s = at_s
        answer.token_times_s.append(at_s)
        parts.append(content)
