"""Decoding of the configuration and the backend server list in the platform's store."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping
from typing import Annotated

import msgspec

from ..config import (
    Backend,
    CallerLimits,
    Config,
    DataCentre,
    MemberConfig,
    Organisation,
    Route,
    Service,
    WeightedService,
)
from ..decoding import DECODE_ERRORS
from ..request import RequestKind
from ..timing import EngineTiming
from .address import parse_address

# The platform has only organisations, so all of them belong to this one member.
MEMBER = "federation"
SECONDS_PER_MS = 0.001


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    # ``idempotent``, ``non_idempotent`` or ``streaming``.
    kind: str
    timeout_ms: float
    # Latency target, not a limit: later responses are worth less.
    target_latency_ms: float = 0.0
    priority: int = 1
    service: str = ""
    # Replaces ``service`` where a route is split over several services.
    traffic_split: list[_Split] = []
    max_attempts: int = 1
    # Requests need no API key.
    public: bool = False
    resumable: bool = False
    # Target for the longest gap between two events of a stream.
    gap_aim_ms: float = 0.0


class _TypicalRequest(msgspec.Struct, frozen=True):
    prompt: float = 10_000.0
    answer: float = 1_000.0


class _Engine(msgspec.Struct):
    kv_tokens: int = 0
    slots: int = 8
    stride: int = 1
    step_ms: float = 1.0
    per_seq_ms: float = 0.0
    # Milliseconds per step for each 1,000 tokens of context.
    context_per_k: float = 0.0
    read_per_s: float = 20_000.0
    # Milliseconds per million pairs of a token and an earlier one (attention).
    pairs_per_m: float = 0.0
    # Maximum number of prompt tokens prefilled in one step.
    chunk: int = 2048
    hop_ms: float = 0.0
    usual: _TypicalRequest = _TypicalRequest()


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, frozen=True):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class Document(msgspec.Struct):
    """The configuration document as operators write it."""

    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = _Limits()
    # None if callers need no API keys.
    tenants: list[_Tenant] | None = None


MAX_SLOTS = 1_000_000
MAX_COLD_MS = 86_400_000.0
# Times of day in milliseconds are exact integers for all decoders up to here.
MAX_TIME_MS = 1 << 53


class ServerEntry(msgspec.Struct):
    """A backend server's own entry in the server list."""

    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 0
    # Remaining cold start time as of the last report.
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0, le=MAX_COLD_MS)] = 0.0
    # Start time in Unix milliseconds; tells restarts under the same id apart.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_TIME_MS)] = 0


DOCUMENT_DECODER = msgspec.json.Decoder(Document)
ENTRY_DECODER = msgspec.json.Decoder(ServerEntry)
BACKEND_STATES = {"ready": "active", "draining": "leaving"}


def decode_entry(value: bytes) -> ServerEntry | None:
    """Decode a server's entry; return None if it is invalid."""
    try:
        entry = ENTRY_DECODER.decode(value)
    except DECODE_ERRORS:
        return None
    if entry.state not in BACKEND_STATES or not _is_address(entry.address):
        return None
    return entry


def _is_address(text: str) -> bool:
    """Return whether a text is exactly an IP address with a port."""
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def to_config(
    document: Document,
    entries: Mapping[str, ServerEntry],
    data_centres: Iterable[str],
    evacuated: frozenset[str],
    region: str = "",
) -> Config:
    """Convert a configuration document and server entries to a ``Config``."""
    services = {each.name: _to_service(each) for each in document.services}
    names = {*data_centres, *(each.zone for each in entries.values())}
    # If two entries share an address, the older server no longer exists.
    newest: dict[str, int] = {}
    for entry in entries.values():
        newest[entry.address] = max(entry.born, newest.get(entry.address, entry.born))
    return Config(
        version=document.version,
        members=_to_members(document.tenants),
        data_centres={
            name: DataCentre(name, region, "drained" if name in evacuated else "active")
            for name in sorted(names)
        },
        backends={
            server_id: _to_backend(server_id, entry, services[entry.service])
            for server_id, entry in entries.items()
            if entry.service in services and entry.born >= newest[entry.address]
        },
        services=services,
        routes=tuple(_to_route(each, services) for each in document.routes),
        caller_limits=_to_limits(document.limits),
    )


def _to_service(service: _Service) -> Service:
    engine = service.engine
    timing = None
    if engine is not None:
        timing = EngineTiming(
            kv_tokens=engine.kv_tokens,
            slots=engine.slots,
            stride=engine.stride,
            step_s=engine.step_ms * SECONDS_PER_MS,
            sequence_s=engine.per_seq_ms * SECONDS_PER_MS,
            context_s=engine.context_per_k * SECONDS_PER_MS / 1_000,
            prefill_tokens_per_s=engine.read_per_s,
            attention_pair_s=engine.pairs_per_m * SECONDS_PER_MS / 1_000_000,
            chunk_tokens=engine.chunk,
            hop_s=engine.hop_ms * SECONDS_PER_MS,
            usual_prompt_tokens=engine.usual.prompt,
            usual_answer_tokens=engine.usual.answer,
        )
    return Service(
        name=service.name,
        max_connections=service.max_connections,
        cold_start_s=service.cold_start_s,
        cold_per_s=service.cold_per_s,
        timing=timing,
    )


def _to_route(route: _Route, services: Mapping[str, Service]) -> Route:
    split = [WeightedService(each.service, each.weight) for each in route.traffic_split]
    weighted = tuple(split) or (WeightedService(route.service),)
    stream = route.kind == "streaming"
    first = services.get(weighted[0].service)
    kind = RequestKind(
        name=route.name,
        target="engine" if first is not None and first.timing else "service",
        idempotent=route.resumable if stream else route.kind == "idempotent",
        deadline_s=route.timeout_ms * SECONDS_PER_MS,
        priority=route.priority,
        max_attempts=route.max_attempts,
        target_s=route.target_latency_ms * SECONDS_PER_MS,
        gap_target_s=route.gap_aim_ms * SECONDS_PER_MS,
    )
    return Route(
        route.name, route.host, route.prefix, kind, weighted, route.public, stream
    )


def _to_backend(server_id: str, entry: ServerEntry, service: Service) -> Backend:
    return Backend(
        id=server_id,
        target="engine" if service.timing else "service",
        data_centre=entry.zone,
        url=f"http://{entry.address}",
        state=BACKEND_STATES[entry.state],
        service=entry.service,
        slots=entry.slots or (service.timing.slots if service.timing else 1),
        started=entry.born,
    )


def _to_members(tenants: list[_Tenant] | None) -> dict[str, MemberConfig]:
    if tenants is None:
        return {}
    organisations = {
        tenant.name: Organisation(
            tenant.name,
            key_sha256=tuple(
                hashlib.sha256(key.encode()).hexdigest() for key in tenant.api_keys
            ),
            priority=tenant.priority,
        )
        for tenant in tenants
    }
    return {MEMBER: MemberConfig(MEMBER, 1.0, organisations)}


def _to_limits(limits: _Limits) -> CallerLimits:
    return CallerLimits(
        header_bytes=limits.max_header_bytes,
        body_bytes=limits.max_body_bytes,
        header_timeout_s=limits.header_timeout_ms * SECONDS_PER_MS,
        idle_timeout_s=limits.idle_timeout_ms * SECONDS_PER_MS,
    )
