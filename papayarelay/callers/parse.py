"""Authentication and validation of caller requests."""

from __future__ import annotations

import hashlib
import uuid
from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from ..config import Config
from ..cost import DEFAULT_MAX_TOKENS, estimate_min_tokens, estimate_tokens
from ..errors import AuthenticationError, RequestError, UnknownResourceError
from ..request import Request, RequestKind
from ..segments import digest_request, digest_segments
from .body import yield_to_event_loop

MAX_DEADLINE_S = 3600.0
MAX_IDEMPOTENCY_KEY_CHARACTERS = 256
MAX_COMPLETION_TOKENS = 1_000_000
# Applies when X-Request-Kind is absent, as with the standard OpenAI client.
DEFAULT_KIND = RequestKind("default", deadline_s=300.0)


class _Message(msgspec.Struct):
    role: str
    content: msgspec.Raw = msgspec.Raw(b"null")


class _ChatBody(msgspec.Struct):
    model: str
    messages: list[_Message]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: msgspec.Raw
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int | None = None


_BODIES = {
    "/v1/chat/completions": msgspec.json.Decoder(_ChatBody),
    "/v1/completions": msgspec.json.Decoder(_CompletionBody),
}
_FIELDS = msgspec.json.Decoder(dict[str, msgspec.Raw])


class Headers:
    """Request headers from a WSGI environment, decoded as UTF-8."""

    def __init__(self, environ: Mapping[str, object]):
        self._environ = environ

    def get(self, name: str, default: str | None = None) -> str | None:
        """Return the value of a header; raises ``RequestError`` if it is not UTF-8."""
        value = self._environ.get("HTTP_" + name.upper().replace("-", "_"))
        if value is None:
            return default
        try:
            return value.encode("latin-1").decode()
        except UnicodeDecodeError:
            raise _invalid_request(f"header {name} is not UTF-8") from None


@dataclass(frozen=True)
class Caller:
    """The member and organisation that own an API key."""

    member: str
    organisation: str


class ApiKeyIndex:
    """Maps the SHA-256 digests of API keys to their callers.

    Looking up a digest instead of the key prevents timing attacks.
    """

    def __init__(self, config: Config):
        self._callers = {
            digest.lower(): Caller(member_name, organisation_name)
            for member_name, member in config.members.items()
            for organisation_name, organisation in member.organisations.items()
            for digest in organisation.key_sha256
        }

    def get(self, key: str) -> Caller | None:
        """Return the caller that owns a key, or None."""
        digest = hashlib.sha256(key.encode("utf-8", "replace")).hexdigest()
        return self._callers.get(digest)

    def authenticate(self, authorization: str) -> Caller:
        """Authenticate a bearer token; raises ``AuthenticationError``."""
        scheme, _, key = authorization.partition(" ")
        caller = self.get(key.strip())
        if scheme.lower() != "bearer" or caller is None:
            raise AuthenticationError(
                "API key is missing or unknown", step="authenticate", peer="caller"
            )
        return caller


def parse_engine_request(
    config: Config,
    caller: Caller,
    path: str,
    headers: Headers,
    body: bytes,
    now_s: float,
) -> Request:
    """Validate a completion request to an engine; raises ``RelayError``."""
    try:
        fields = _BODIES[path].decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise _invalid_request(str(error)) from error
    except RecursionError:
        raise _invalid_request("the body is nested too deeply") from None
    if fields.model not in config.models:
        raise UnknownResourceError(
            f"model {fields.model[:100]!r} does not exist", step="parse", peer="caller"
        )
    if fields.n not in (None, 1):
        raise _invalid_request("n must be 1")
    kind = _find_kind(config, headers, "engine")
    max_tokens = _max_tokens(fields)
    context_tokens = config.models[fields.model].context_tokens
    prompt_tokens = _prompt_tokens(fields, context_tokens - max_tokens)
    key = _idempotency_key(kind, headers)
    if key is not None and fields.stream:
        raise _invalid_request(
            f"kind {kind.name!r} is not idempotent and cannot be streamed"
        )
    return Request(
        id=uuid.uuid4().hex,
        member=caller.member,
        organisation=caller.organisation,
        kind=kind,
        model=fields.model,
        path=path,
        body=_as_stream(body),
        prompt_tokens=prompt_tokens,
        max_tokens=max_tokens,
        stream=fields.stream,
        received_s=now_s,
        deadline_s=now_s + _timeout_s(kind, headers),
        idempotency_key=key,
        segments=_shared_segments(fields),
        digest=digest_request("POST", path, _caller_name(caller), body),
    )


def parse_service_request(
    config: Config,
    caller: Caller,
    kind_name: str,
    headers: Headers,
    body: bytes,
    now_s: float,
) -> Request:
    """Validate a request to a plain service; raises ``RelayError``."""
    kind = config.kinds.get(kind_name)
    if kind is None or kind.target != "service":
        raise UnknownResourceError(
            f"service kind {kind_name[:100]!r} does not exist",
            step="parse",
            peer="caller",
        )
    return Request(
        id=uuid.uuid4().hex,
        member=caller.member,
        organisation=caller.organisation,
        kind=kind,
        model="",
        path=f"/{kind.name}",
        body=body,
        prompt_tokens=0,
        max_tokens=0,
        stream=False,
        received_s=now_s,
        deadline_s=now_s + _timeout_s(kind, headers),
        idempotency_key=_idempotency_key(kind, headers),
        digest=digest_request("POST", f"/{kind.name}", _caller_name(caller), body),
    )


def _caller_name(caller: Caller) -> str:
    return f"{caller.member}/{caller.organisation}"


def _shared_segments(fields: _ChatBody | _CompletionBody) -> tuple[int, ...]:
    """Return the digests of the messages but the last; other chats may share them."""
    if isinstance(fields, _CompletionBody):
        return ()
    return digest_segments(
        b"%s\n%s" % (message.role.encode(), bytes(message.content))
        for message in fields.messages[:-1]
    )


def _prompt_bytes(fields: _ChatBody | _CompletionBody) -> int:
    if isinstance(fields, _CompletionBody):
        return len(memoryview(fields.prompt))
    return sum(len(memoryview(message.content)) for message in fields.messages)


def _prompt_tokens(fields: _ChatBody | _CompletionBody, limit: int) -> int:
    """Return the estimated number of prompt tokens, capped at ``limit``.

    A prompt is rejected only if even its lower bound exceeds the limit; the engine
    applies the exact count.
    """
    prompt_bytes = _prompt_bytes(fields)
    min_tokens = estimate_min_tokens(prompt_bytes)
    if min_tokens > limit:
        raise _invalid_request(
            f"the prompt has at least {min_tokens} tokens, but the context window "
            f"leaves {limit} beside max_tokens"
        )
    return min(estimate_tokens(prompt_bytes), limit)


def _max_tokens(fields: _ChatBody | _CompletionBody) -> int:
    limit = fields.max_completion_tokens or fields.max_tokens or DEFAULT_MAX_TOKENS
    if not 1 <= limit <= MAX_COMPLETION_TOKENS:
        raise _invalid_request(f"max_tokens must be from 1 to {MAX_COMPLETION_TOKENS}")
    return limit


def _as_stream(body: bytes) -> bytes:
    """Return the body with ``stream`` set to true.

    Engines always stream, so that stalled and broken connections are detected early
    and responses can be resumed.
    """
    yield_to_event_loop(body)
    fields = _FIELDS.decode(body)
    yield_to_event_loop(body)
    fields["stream"] = msgspec.Raw(b"true")
    return msgspec.json.encode(fields)


def _find_kind(config: Config, headers: Headers, target: str) -> RequestKind:
    name = headers.get("X-Request-Kind")
    if name is None:
        return config.kinds.get(DEFAULT_KIND.name, DEFAULT_KIND)
    kind = config.kinds.get(name)
    if kind is None or kind.target != target:
        raise UnknownResourceError(
            f"kind {name[:100]!r} does not exist for this path",
            step="parse",
            peer="caller",
        )
    return kind


def _timeout_s(kind: RequestKind, headers: Headers) -> float:
    text = headers.get("X-Deadline-Ms")
    if text is None:
        return kind.deadline_s
    if not text.isascii() or not text.isdigit() or len(text) > 9:
        raise _invalid_request("X-Deadline-Ms must be a whole number of milliseconds")
    timeout_s = int(text) / 1000
    if not 0 < timeout_s <= MAX_DEADLINE_S:
        raise _invalid_request(
            f"X-Deadline-Ms must be from 1 to {MAX_DEADLINE_S * 1000:.0f}"
        )
    return timeout_s


def _idempotency_key(kind: RequestKind, headers: Headers) -> str | None:
    if kind.idempotent:
        return None
    key = headers.get("Idempotency-Key")
    if not key or len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS or not key.isprintable():
        raise _invalid_request(
            f"kind {kind.name!r} is not idempotent and needs an Idempotency-Key of "
            f"1 to {MAX_IDEMPOTENCY_KEY_CHARACTERS} printable characters"
        )
    return key


def _invalid_request(message: str) -> RequestError:
    return RequestError(message, step="parse", peer="caller")
