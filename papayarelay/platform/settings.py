"""The settings file that the platform gives to each process (TOML)."""

from __future__ import annotations

import os
import tomllib
from dataclasses import dataclass, field

PATH_VARIABLE = "PAPAYARELAY_CONFIG"


@dataclass(frozen=True)
class Bounds:
    """Time limits and budgets that apply to the whole system."""

    drain_s: float = 2.0
    stop_s: float = 8.0
    config_s: float = 2.0
    revocation_s: float = 5.0
    revokes_when_cut_off: bool = True
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_reserve: float = 100.0
    reservation_limit_s: float = 20.0


@dataclass(frozen=True)
class PlatformSettings:
    """Identity and addresses of a process, and the address of the platform's store."""

    name: str
    data_centre: str
    ip: str
    caller_address: str
    ready_address: str
    first_port: int
    last_port: int
    store_address: str
    bounds: Bounds = field(default_factory=Bounds)


class PlatformSettingsError(Exception):
    """The settings file is not valid."""


def settings_path() -> str:
    """Return the path of the settings file from the environment."""
    return os.environ[PATH_VARIABLE]


def load(path: str) -> PlatformSettings:
    """Load the settings; unknown fields are ignored.

    Raises ``PlatformSettingsError``.
    """
    with open(path, "rb") as file:
        try:
            document = tomllib.load(file)
        except tomllib.TOMLDecodeError as error:
            raise PlatformSettingsError(f"{path}: {error}") from error
    try:
        return _read(document)
    except (KeyError, TypeError, ValueError, IndexError) as error:
        raise PlatformSettingsError(
            f"{path}: missing or invalid field: {error!r}"
        ) from error


def _read(document: dict) -> PlatformSettings:
    ports = document["internal_ports"]
    return PlatformSettings(
        name=str(document["node_name"]),
        data_centre=str(document["zone"]),
        ip=str(document["ip"]),
        caller_address=str(document["listen"]["front"]),
        ready_address=str(document["listen"]["readiness"]),
        first_port=int(ports[0]),
        last_port=int(ports[1]),
        store_address=str(document["platform"]["address"]),
        bounds=_read_bounds(document.get("bounds", {})),
    )


def _read_bounds(fields: dict) -> Bounds:
    defaults = Bounds()

    def seconds(name: str, default: float) -> float:
        return float(fields[name]) / 1000 if name in fields else default

    return Bounds(
        drain_s=seconds("drain_ms", defaults.drain_s),
        stop_s=float(fields.get("grace_s", defaults.stop_s)),
        config_s=seconds("config_ms", defaults.config_s),
        revocation_s=seconds("revoke_ms", defaults.revocation_s),
        revokes_when_cut_off=bool(fields.get("revoke_when_partitioned", True)),
        retry_ratio=float(fields.get("budget_ratio", defaults.retry_ratio)),
        retry_window_s=float(fields.get("budget_window_s", defaults.retry_window_s)),
        retry_reserve=float(fields.get("budget_slack", defaults.retry_reserve)),
        reservation_limit_s=seconds("hold_max_ms", defaults.reservation_limit_s),
    )
