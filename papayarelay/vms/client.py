"""Client of the platform's VM list, which lags behind the actual VMs."""

from __future__ import annotations

import msgspec
import urllib3

from ..errors import Outcome, RelayError

TIMEOUT_S = 2.0


class VmListError(RelayError):
    """The VM list could not be read."""

    status = 503
    code = "vms_unavailable"


class Vm(msgspec.Struct, frozen=True):
    """A VM of the list; ``state`` is ``live`` or ``leaving``."""

    name: str
    address: str
    data_centre: str
    region: str
    state: str = "live"


_DECODER = msgspec.json.Decoder(list[Vm])


class VmListClient:
    """Reads the VM list; ``url`` is the base URL of the platform's service."""

    def __init__(self, url: str, timeout_s: float = TIMEOUT_S):
        self._url = url
        self._timeout_s = timeout_s
        self._pool: urllib3.HTTPConnectionPool | None = None

    def start(self) -> None:
        """Create the connection pool."""
        self._pool = urllib3.connection_from_url(self._url, maxsize=1, block=False)

    def close(self) -> None:
        """Close the connection."""
        if self._pool is not None:
            self._pool.close()

    def read(self) -> list[Vm]:
        """Return all VMs of the list; raises ``VmListError``."""
        try:
            response = self._pool.request(
                "GET", "/vms", timeout=self._timeout_s, retries=False
            )
            if response.status != 200:
                raise _error(f"status {response.status}")
            return _DECODER.decode(response.data)
        except (urllib3.exceptions.HTTPError, OSError, msgspec.MsgspecError) as error:
            raise _error(type(error).__name__) from error


def _error(message: str) -> VmListError:
    return VmListError(
        f"cannot read the VM list: {message}",
        step="read_vms",
        peer="vms",
        outcome=Outcome.UNKNOWN,
    )
