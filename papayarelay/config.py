"""Schema and validation of the configuration shared by all nodes."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .document import (
    DIGEST_PATTERN,
    NAME_ALLOWED,
    NAME_PATTERN,
    ErrorCollector,
    ObjectReader,
    decode_object,
    join_path,
    read_objects,
    suggest,
)
from .request import RequestKind
from .timing import EngineTiming

SECTIONS = ("members", "kinds", "data_centres", "backends", "models", "limits")
TARGETS = ("engine", "service")
DATA_CENTRE_STATES = ("active", "drained")
BACKEND_STATES = ("active", "leaving")
DIGEST_ALLOWED = "the SHA-256 of an API key as 64 lower-case hex digits"
MAX_DEADLINE_S = 3600
MAX_TOKENS = 2**31
MAX_WRITES_PER_S = 100_000
# Sums of decimal fractions are not exact in binary floating point.
SHARE_TOLERANCE = 1e-9


@dataclass(frozen=True)
class Organisation:
    """A caller organisation of a member and the digests of its API keys.

    ``priority`` overrides the priority of the request kind unless it is None.
    """

    name: str
    weight: float = 1.0
    key_sha256: tuple[str, ...] = ()
    priority: int | None = None


@dataclass(frozen=True)
class MemberConfig:
    """A member and its share (0 to 1) of the token budget of all members."""

    name: str
    share: float
    organisations: Mapping[str, Organisation] = field(default_factory=dict)


@dataclass(frozen=True)
class DataCentre:
    """A data centre; ``state`` is ``active`` or ``drained``."""

    name: str
    region: str
    state: str = "active"


@dataclass(frozen=True)
class Backend:
    """A backend server; ``state`` is ``active`` or ``leaving``.

    An engine serves ``models``, a plain service serves ``kinds``.
    ``cold_bound_tokens`` is the initial bound on the tokens in flight to an engine in
    cold start.
    ``service`` is the group that it belongs to, and ``slots`` the number of
    requests that it runs concurrently, 0 if unknown.  ``started`` identifies the
    incarnation of the server under this id.
    """

    id: str
    target: str
    data_centre: str
    url: str
    models: tuple[str, ...] = ()
    kinds: tuple[str, ...] = ()
    state: str = "active"
    checks_fencing: bool = False
    cold_bound_tokens: int = 8192
    service: str = ""
    slots: int = 0
    started: int = 0


@dataclass(frozen=True)
class Service:
    """A group of interchangeable backend servers.

    ``max_connections`` bounds the connections of all nodes to one server, and
    ``cold_per_s`` the request rate to a server in cold start; 0 means no bound.
    ``timing`` holds the timing parameters of its engines.
    """

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    timing: EngineTiming | None = None


@dataclass(frozen=True)
class WeightedService:
    """A service and its weight in the traffic split of a route."""

    service: str
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """A route by host and path prefix; a ``public`` one needs no API key."""

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[WeightedService, ...]
    public: bool = False
    stream: bool = False


@dataclass(frozen=True)
class CallerLimits:
    """Size limits and timeouts for caller connections."""

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True)
class Model:
    """A model and the length of its context window."""

    name: str
    context_tokens: int


@dataclass(frozen=True)
class Limits:
    """Limits for the sum over all nodes."""

    claim_writes_per_s: float = 200.0


@dataclass(frozen=True)
class Config:
    """One version of the configuration; each section is a mapping by name.

    ``services``, ``routes`` and ``caller_limits`` apply to proxied requests.
    """

    version: int = 0
    members: Mapping[str, MemberConfig] = field(default_factory=dict)
    kinds: Mapping[str, RequestKind] = field(default_factory=dict)
    data_centres: Mapping[str, DataCentre] = field(default_factory=dict)
    backends: Mapping[str, Backend] = field(default_factory=dict)
    models: Mapping[str, Model] = field(default_factory=dict)
    limits: Limits = field(default_factory=Limits)
    services: Mapping[str, Service] = field(default_factory=dict)
    routes: tuple[Route, ...] = ()
    caller_limits: CallerLimits = field(default_factory=CallerLimits)


def parse_document(text: str, version: int = 0) -> Config:
    """Parse a complete configuration document.

    A missing section is empty.  Raises an exception group with a SettingsError
    for each error.
    """
    errors = ErrorCollector()
    document = decode_object(text, "", errors)
    return _read_config(document, version, errors)


def parse_sections(sections: Mapping[str, str], version: int) -> Config:
    """Parse a configuration whose sections are separate texts.

    Raises an exception group with a SettingsError for each error.
    """
    errors = ErrorCollector()
    document = {
        name: decode_object(text, name, errors) for name, text in sections.items()
    }
    return _read_config(document, version, errors)


def _read_config(
    document: Mapping[str, object], version: int, errors: ErrorCollector
) -> Config:
    # Every reference into an unreadable section would be reported as unknown.
    unreadable = bool(errors) or not all(
        isinstance(document.get(name, {}), dict) for name in SECTIONS
    )
    for name in document:
        if name not in SECTIONS:
            known = f"one of the sections {', '.join(SECTIONS)}"
            errors.add(join_path("", name), name, known, suggest(name, SECTIONS))
    config = Config(
        version=version,
        members=_read_section(document, "members", _read_member, errors),
        kinds=_read_section(document, "kinds", _read_kind, errors),
        data_centres=_read_section(document, "data_centres", _read_data_centre, errors),
        backends=_read_section(document, "backends", _read_backend, errors),
        models=_read_section(document, "models", _read_model, errors),
        limits=_read_limits(document, errors),
    )
    if not unreadable:
        _check_members(config, errors)
        _check_backends(config, errors)
        _check_kinds(config, errors)
    errors.raise_if_any("configuration")
    return config


def _read_section(document, section, read, errors) -> dict[str, object]:
    readers = read_objects(document.get(section, {}), section, errors)
    entries = {}
    for name, reader in readers.items():
        entries[name] = read(name, reader)
        reader.reject_unknown_keys()
    return entries


def _read_member(name: str, reader: ObjectReader) -> MemberConfig:
    share = reader.number("share", 0, 1)
    organisations = {}
    for key, inner in reader.objects("organisations").items():
        organisations[key] = _read_organisation(key, inner)
        inner.reject_unknown_keys()
    return MemberConfig(name, share, organisations)


def _read_organisation(name: str, reader: ObjectReader) -> Organisation:
    return Organisation(
        name=name,
        weight=reader.number("weight", 0.001, 1_000_000, 1.0),
        key_sha256=reader.texts("key_sha256", DIGEST_PATTERN, DIGEST_ALLOWED),
    )


def _read_kind(name: str, reader: ObjectReader) -> RequestKind:
    return RequestKind(
        name=name,
        target=reader.choice("target", TARGETS),
        idempotent=reader.boolean("idempotent"),
        deadline_s=reader.number("deadline_s", 0.001, MAX_DEADLINE_S),
        priority=reader.integer("priority", 0, 9),
    )


def _read_data_centre(name: str, reader: ObjectReader) -> DataCentre:
    return DataCentre(
        name=name,
        region=reader.name("region"),
        state=reader.choice("state", DATA_CENTRE_STATES, "active"),
    )


def _read_backend(name: str, reader: ObjectReader) -> Backend:
    return Backend(
        id=name,
        target=reader.choice("target", TARGETS),
        data_centre=reader.name("data_centre"),
        url=reader.url("url"),
        models=reader.texts("models", NAME_PATTERN, NAME_ALLOWED),
        kinds=reader.texts("kinds", NAME_PATTERN, NAME_ALLOWED),
        state=reader.choice("state", BACKEND_STATES, "active"),
        checks_fencing=reader.boolean("checks_fencing", False),
        cold_bound_tokens=reader.integer("cold_bound_tokens", 1, MAX_TOKENS, 8192),
    )


def _read_model(name: str, reader: ObjectReader) -> Model:
    return Model(name, reader.integer("context_tokens", 1, MAX_TOKENS))


def _read_limits(document: Mapping[str, object], errors: ErrorCollector) -> Limits:
    reader = ObjectReader(document.get("limits", {}), "limits", errors)
    limits = Limits(
        claim_writes_per_s=reader.number(
            "claim_writes_per_s", 0, MAX_WRITES_PER_S, Limits.claim_writes_per_s
        )
    )
    reader.reject_unknown_keys()
    return limits


def _check_members(config: Config, errors: ErrorCollector) -> None:
    """Check that shares sum to at most 1 and that API keys are unique."""
    total = sum(member.share for member in config.members.values())
    if total > 1 + SHARE_TOLERANCE:
        errors.add("members", round(total, 9), "shares that add up to at most 1")
    owners: dict[str, str] = {}
    for member in config.members.values():
        for organisation in member.organisations.values():
            path = f"members.{member.name}.organisations.{organisation.name}"
            for digest in organisation.key_sha256:
                if digest in owners:
                    allowed = f"a key of one organisation only, {owners[digest]} has it"
                    errors.add(f"{path}.key_sha256", digest, allowed)
                owners.setdefault(digest, path)


def _check_backends(config: Config, errors: ErrorCollector) -> None:
    """Check references and that URLs of backend servers are unique.

    A plain service may list a kind that does not exist yet: a kind with target
    ``service`` needs a backend server, which therefore has to be added first.
    """
    urls: dict[str, str] = {}
    for backend in config.backends.values():
        path = f"backends.{backend.id}"
        if backend.data_centre:
            _check_reference(
                backend.data_centre,
                config.data_centres,
                f"{path}.data_centre",
                "data centre",
                errors,
            )
        for index, model in enumerate(backend.models):
            entry_path = f"{path}.models.{index}"
            _check_reference(model, config.models, entry_path, "model", errors)
        _check_target(config, backend, errors)
        if backend.url and backend.url in urls:
            allowed = f"a URL of its own, {urls[backend.url]} has this one"
            errors.add(f"{path}.url", backend.url, allowed)
        urls.setdefault(backend.url, backend.id)


def _check_target(config: Config, backend: Backend, errors: ErrorCollector) -> None:
    """Check that an engine lists only models and a plain service only kinds."""
    path = f"backends.{backend.id}"
    if backend.target == "engine" and backend.kinds:
        allowed = "an empty list, because only a plain service lists kinds"
        errors.add(f"{path}.kinds", list(backend.kinds), allowed)
    if backend.target == "service" and backend.models:
        allowed = "an empty list, because only an engine lists models"
        errors.add(f"{path}.models", list(backend.models), allowed)
    for index, name in enumerate(backend.kinds):
        kind = config.kinds.get(name)
        if kind is not None and kind.target != "service":
            allowed = "a kind whose target is service"
            errors.add(f"{path}.kinds.{index}", name, allowed)


def _check_kinds(config: Config, errors: ErrorCollector) -> None:
    served = {
        kind
        for backend in config.backends.values()
        if backend.target == "service"
        for kind in backend.kinds
    }
    for kind in config.kinds.values():
        if kind.target == "service" and kind.name not in served:
            allowed = "a plain service in backends that lists this kind"
            path = f"kinds.{kind.name}"
            errors.add(path, kind.name, allowed, suggest(kind.name, served))


def _check_reference(
    name: str, known: Mapping[str, object], path: str, noun: str, errors: ErrorCollector
) -> None:
    if name not in known:
        errors.add(path, name, f"a known {noun}", suggest(name, known))
