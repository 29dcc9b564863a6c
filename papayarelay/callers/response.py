"""Response and error bodies of the OpenAI-compatible API."""

from __future__ import annotations

import socket

import msgspec

from ..errors import Outcome, RelayError
from ..request import Request

DONE_EVENT = b"data: [DONE]\n\n"


def error_body(error: RelayError, has_idempotency_key: bool = False) -> bytes:
    """Return the JSON error object, extended by step, peer and outcome.

    For a request with an idempotency key, the field ``retry_key`` tells which key a
    retry needs: the key of a request that was not run is rejected from then on; in
    all other cases the same key may be sent again.
    """
    fields = {
        "message": error.message,
        "type": error.code,
        "param": None,
        "code": error.code,
        "step": error.step,
        "peer": error.peer,
        "outcome": error.outcome.value,
    }
    if error.retry_after_s is not None:
        fields["retry_after_s"] = error.retry_after_s
    if has_idempotency_key:
        refused = error.outcome is Outcome.NOT_RUN
        fields["retry_key"] = "new" if refused else "same"
    return msgspec.json.encode({"error": fields})


def error_headers(error: RelayError) -> dict[str, str]:
    """Return the retry headers of an error response."""
    if error.retry_after_s is None:
        return {}
    return {
        "Retry-After": str(max(1, round(error.retry_after_s))),
        "retry-after-ms": str(round(error.retry_after_s * 1000)),
    }


def error_event(error: RelayError) -> bytes:
    """Return an error as the final event of a stream that has started."""
    return b"data: " + error_body(error) + b"\n\n"


def completion_body(
    request: Request, text: str, tokens: int, reason: str | None, now_s: int
) -> bytes:
    """Return the response body of a request that is not streamed.

    ``tokens`` is the number of completion tokens, ``reason`` the engine's finish
    reason and ``now_s`` the Unix time.
    """
    choice: dict = {"index": 0, "finish_reason": reason or "stop"}
    chat = request.path == "/v1/chat/completions"
    if chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    usage = {
        "prompt_tokens": request.prompt_tokens,
        "completion_tokens": tokens,
        "total_tokens": request.prompt_tokens + tokens,
    }
    return msgspec.json.encode(
        {
            "id": request.id,
            "object": "chat.completion" if chat else "text_completion",
            "created": now_s,
            "model": request.model,
            "choices": [choice],
            "usage": usage,
        }
    )


def is_disconnected(sock: socket.socket) -> bool:
    """Return whether the caller has closed its connection."""
    limit_s = sock.gettimeout()
    sock.settimeout(0.0)
    try:
        return sock.recv(1, socket.MSG_PEEK) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True
    finally:
        sock.settimeout(limit_s)
