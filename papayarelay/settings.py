"""Settings of one node, read from a JSON file with comments."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from pathlib import Path

from .document import ErrorCollector, ObjectReader, decode_object

LOG_LEVELS = ("debug", "info", "warning", "error")
ROUTING_POLICIES = ("cost_aware", "least_requests", "power_of_two", "round_robin")
LOAD_SCOPES = ("data_centre", "region")
MIN_DURATION_S = 0.001
MAX_DURATION_S = 86_400
MAX_BYTES = 2**36
MAX_COUNT = 1_000_000

# Settings without an entry here are required.
DEFAULTS: dict[str, str | int | float] = {
    "caller_address": "127.0.0.1:8080",
    "operator_address": "127.0.0.1:8081",
    "node_address": "127.0.0.1:7000",
    "operator_token_file": "",
    "log_level": "info",
    "routing_policy": "cost_aware",
    "load_scope": "region",
    "body_limit_bytes": 16 * 2**20,
    "body_memory_bytes": 256 * 2**20,
    "header_timeout_s": 10.0,
    "body_timeout_s": 120.0,
    "body_lowest_bytes_per_s": 16_384,
    "caller_idle_timeout_s": 75.0,
    "caller_connections_limit": 4_096,
    "store_timeout_s": 2.0,
    "config_poll_interval_s": 2.0,
    "vms_poll_interval_s": 5.0,
    "link_send_bytes_per_s": 1_400,
    "drain_grace_s": 5.0,
}

# The first rule whose suffix matches the setting applies; the rest are names.
_RULES = (
    ("log_level", ObjectReader.choice, LOG_LEVELS),
    ("routing_policy", ObjectReader.choice, ROUTING_POLICIES),
    ("load_scope", ObjectReader.choice, LOAD_SCOPES),
    ("drain_grace_s", ObjectReader.number, 0, MAX_DURATION_S),
    ("_address", ObjectReader.address),
    ("_url", ObjectReader.url),
    ("_file", ObjectReader.text),
    ("_bytes", ObjectReader.integer, 1, MAX_BYTES),
    ("_bytes_per_s", ObjectReader.integer, 1, MAX_BYTES),
    ("_limit", ObjectReader.integer, 1, MAX_COUNT),
    ("_s", ObjectReader.number, MIN_DURATION_S, MAX_DURATION_S),
)


@dataclass(frozen=True)
class Settings:
    """Settings of one node; a quantity has its unit as a suffix of the name.

    ``node_address`` is where other nodes reach this one.  ``body_memory_bytes``
    bounds the memory of all request bodies in flight, ``body_limit_bytes`` the
    size of one.  After SIGTERM a node still admits requests for
    ``drain_grace_s``.
    """

    name: str
    data_centre: str
    region: str
    store_url: str
    vms_url: str
    cluster_key_file: str
    caller_address: str = DEFAULTS["caller_address"]
    operator_address: str = DEFAULTS["operator_address"]
    node_address: str = DEFAULTS["node_address"]
    operator_token_file: str = DEFAULTS["operator_token_file"]
    log_level: str = DEFAULTS["log_level"]
    routing_policy: str = DEFAULTS["routing_policy"]
    load_scope: str = DEFAULTS["load_scope"]
    body_limit_bytes: int = DEFAULTS["body_limit_bytes"]
    body_memory_bytes: int = DEFAULTS["body_memory_bytes"]
    header_timeout_s: float = DEFAULTS["header_timeout_s"]
    body_timeout_s: float = DEFAULTS["body_timeout_s"]
    body_lowest_bytes_per_s: int = DEFAULTS["body_lowest_bytes_per_s"]
    caller_idle_timeout_s: float = DEFAULTS["caller_idle_timeout_s"]
    caller_connections_limit: int = DEFAULTS["caller_connections_limit"]
    store_timeout_s: float = DEFAULTS["store_timeout_s"]
    config_poll_interval_s: float = DEFAULTS["config_poll_interval_s"]
    vms_poll_interval_s: float = DEFAULTS["vms_poll_interval_s"]
    link_send_bytes_per_s: int = DEFAULTS["link_send_bytes_per_s"]
    drain_grace_s: float = DEFAULTS["drain_grace_s"]


def load_settings(path: str | Path) -> Settings:
    """Read a settings file; paths in it are relative to its directory.

    Raises an exception group with a SettingsError for each error.
    """
    path = Path(path)
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, ValueError) as error:
        errors = ErrorCollector()
        errors.add("", str(path), "a readable UTF-8 file", str(error))
        errors.raise_if_any("settings")
        raise
    return _parse(text, path.parent)


def parse_settings(text: str) -> Settings:
    """Parse settings; raise an exception group with every error."""
    return _parse(text, None)


def _parse(text: str, directory: Path | None) -> Settings:
    errors = ErrorCollector()
    reader = ObjectReader(decode_object(text, "", errors), "", errors)
    if errors:
        errors.raise_if_any("settings")
    values = {field.name: _read(reader, field.name) for field in fields(Settings)}
    reader.reject_unknown_keys()
    settings = Settings(**values)
    _check_consistency(settings, errors)
    errors.raise_if_any("settings")
    if directory is None:
        return settings
    return _resolve_files(settings, directory)


def _read(reader: ObjectReader, name: str) -> str | int | float:
    """Read one setting by the rule for its name or unit suffix."""
    default = {"default": DEFAULTS[name]} if name in DEFAULTS else {}
    for suffix, read, *bounds in _RULES:
        if name.endswith(suffix):
            return read(reader, name, *bounds, **default)
    return reader.name(name, **default)


def _check_consistency(settings: Settings, errors: ErrorCollector) -> None:
    """Check constraints between several settings."""
    if errors:
        return
    if settings.body_memory_bytes < settings.body_limit_bytes:
        errors.add(
            "body_memory_bytes",
            settings.body_memory_bytes,
            f"at least body_limit_bytes ({settings.body_limit_bytes})",
        )
    seen: dict[str, str] = {}
    for name in ("caller_address", "operator_address", "node_address"):
        address = getattr(settings, name)
        if address in seen:
            errors.add(name, address, f"an address other than {seen[address]}")
        if not address.endswith(":0"):
            seen[address] = name


def _resolve_files(settings: Settings, directory: Path) -> Settings:
    changes = {}
    for field in fields(Settings):
        value = getattr(settings, field.name)
        if field.name.endswith("_file") and value:
            changes[field.name] = str(directory / value)
    return replace(settings, **changes)
