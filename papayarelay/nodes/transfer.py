"""Transfer of the full configuration between nodes, in chunks of bounded size."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import gevent.event
import msgspec

from .codec import ConfigChunk, ConfigRequest

CHUNK_BYTES = 1_100
CHUNK_TIMEOUT_S = 2.0
MAX_CONFIG_BYTES = 16 * 1024 * 1024


class ConfigUpload:
    """Serves chunks of the active configuration."""

    def __init__(self):
        self._version = 0
        self._data = b""

    def make_chunk(
        self, request: ConfigRequest, version: int, sections: Mapping[str, Any]
    ) -> ConfigChunk | None:
        """Return the requested chunk, or the first one if the version has changed."""
        if version == 0:
            return None
        if self._version != version:
            self._data = zlib.compress(msgspec.msgpack.encode(sections))
            self._version = version
        offset = request.offset if request.version in (0, version) else 0
        if not 0 <= offset < len(self._data):
            return None
        data = self._data[offset : offset + CHUNK_BYTES]
        return ConfigChunk(version, offset, len(self._data), data)


@dataclass
class ConfigDownload:
    """Reassembles a configuration from chunks that several peers send."""

    version: int = 0
    arrived: gevent.event.Event = field(default_factory=gevent.event.Event)
    _size: int = 0
    _chunks: dict[int, bytes] = field(default_factory=dict)
    # Outstanding request of each peer: offset and deadline.
    _outstanding: dict[str, tuple[int, float]] = field(default_factory=dict)

    @property
    def complete(self) -> bool:
        """Whether all chunks have arrived."""
        return self._size > 0 and sum(map(len, self._chunks.values())) >= self._size

    def next_request(self, peer: str, now_s: float) -> ConfigRequest | None:
        """Return the next request for a peer, None if it has one outstanding."""
        if self._outstanding.get(peer, (0, now_s))[1] > now_s:
            return None
        requested = {
            offset for offset, due_s in self._outstanding.values() if due_s > now_s
        }
        for offset in range(0, max(1, self._size), CHUNK_BYTES):
            if offset not in self._chunks and offset not in requested:
                self._outstanding[peer] = (offset, now_s + CHUNK_TIMEOUT_S)
                return ConfigRequest(self.version, offset)
        return None

    def add(self, peer: str, chunk: ConfigChunk) -> None:
        """Add a chunk; a newer version restarts the download."""
        if not 0 < chunk.size <= MAX_CONFIG_BYTES:
            return
        self._outstanding.pop(peer, None)
        if chunk.version > self.version or not self._size:
            self.version, self._size, self._chunks = chunk.version, chunk.size, {}
        if (chunk.version, chunk.size) == (self.version, self._size):
            self._chunks[chunk.offset] = chunk.data
        self.arrived.set()

    def content(self) -> dict[str, Any]:
        """Return the sections; raises ``ValueError`` if the data is corrupt."""
        data = b"".join(self._chunks[offset] for offset in sorted(self._chunks))
        try:
            packed = zlib.decompressobj().decompress(data, MAX_CONFIG_BYTES)
            return msgspec.msgpack.decode(packed, type=dict[str, Any])
        except (zlib.error, msgspec.DecodeError) as error:
            raise ValueError(str(error)) from error
