"""Prompt parsing and response encoding of the OpenAI API for the simulated engine."""

from __future__ import annotations

import hashlib
import time
from dataclasses import dataclass

import msgspec

BYTES_PER_BLOCK_TOKEN = 4
KEEP_ALIVE_LINE = b": keep-alive\n\n"
DONE_LINE = b"data: [DONE]\n\n"


def digest_of(request_id: str, prompt: str) -> str:
    """Return the digest that ties each generated token to its request."""
    return hashlib.sha256(f"{request_id}\n{prompt}".encode()).hexdigest()[:8]


def token_of(offset: int, digest: str) -> bytes:
    """Return the text of a token; tokens are separated by spaces."""
    return b"%sw%d:%s" % (b" " if offset else b"", offset, digest.encode())


def prompt_of(body: dict) -> str:
    """Return the prompt text of a request body.

    Raises ValueError for a malformed body.
    """
    try:
        if "messages" in body:
            contents = (message["content"] for message in body["messages"])
            return "\n".join(_text_of(content) for content in contents)
        prompt = body["prompt"]
        return prompt if isinstance(prompt, str) else "\n".join(prompt)
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed prompt: {error!r}") from error


def prefix_of(prompt: bytes, block_tokens: int) -> list[str]:
    """Return the prefix-cache keys of the prompt: chained hashes of its full blocks."""
    block_bytes = block_tokens * BYTES_PER_BLOCK_TOKEN
    chain = hashlib.sha256()
    blocks = []
    for start in range(0, len(prompt) - block_bytes + 1, block_bytes):
        chain.update(prompt[start : start + block_bytes])
        blocks.append(chain.hexdigest()[:16])
    return blocks


@dataclass(frozen=True)
class Answer:
    """Fields shared by all chunks of one completion, and their encoding."""

    request_id: str
    digest: str
    chat: bool
    model: str
    prompt_tokens: int

    def chunk_parts(self) -> tuple[bytes, bytes, bytes]:
        """Return the three fixed parts of a token chunk, around its offset and text."""
        head = b"data: " + msgspec.json.encode(self._head(".chunk"))[:-1]
        text = b'"delta":{"content":"' if self.chat else b'"text":"'
        tail = b'"},' if self.chat else b'",'
        return (
            head + b',"offset":',
            b',"choices":[{"index":0,' + text,
            tail + b'"finish_reason":null}]}\n\n',
        )

    def final_chunk(self, offset: int, reason: str) -> bytes:
        """Return the last chunk, with the finish reason and the usage."""
        body = {"delta": {}} if self.chat else {"text": ""}
        chunk = {
            **self._head(".chunk"),
            "offset": offset,
            "choices": [{"index": 0, **body, "finish_reason": reason}],
            "usage": self._usage(offset),
        }
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def error_chunk(self, reason: str) -> bytes:
        """Return the error chunk that ends an incomplete stream."""
        error = {"message": f"request ended: {reason}", "code": reason}
        chunk = {"id": self.request_id, "error": error}
        return b"data: " + msgspec.json.encode(chunk) + b"\n\n"

    def complete_response(self, first: int, count: int, reason: str) -> dict:
        """Return a non-streamed response of ``count`` tokens from ``first`` on."""
        tokens = [token_of(first + index, self.digest) for index in range(count)]
        text = b"".join(tokens).decode()
        message = {"role": "assistant", "content": text}
        body = {"message": message} if self.chat else {"text": text}
        return {
            **self._head(""),
            "offset": first,
            "choices": [{"index": 0, **body, "finish_reason": reason}],
            "usage": self._usage(first + count),
        }

    def _head(self, suffix: str) -> dict:
        kind = "chat.completion" + suffix if self.chat else "text_completion"
        return {
            "id": self.request_id,
            "object": kind,
            "created": int(time.time()),
            "model": self.model,
        }

    def _usage(self, completion_tokens: int) -> dict:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": self.prompt_tokens + completion_tokens,
        }


def _text_of(content) -> str:
    if isinstance(content, str):
        return content
    return "".join(part["text"] for part in content)
