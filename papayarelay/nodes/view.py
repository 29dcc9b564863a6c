"""The peer view: the known nodes and their state.

It merges the VM list, which lags, with heartbeats and with the peer records
that the nodes of a data centre disseminate.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

# A peer that is not on the VM list is removed after this silence.
FORGET_AFTER_S = 120.0


class PeerState(enum.StrEnum):
    """Membership state of a node."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Peer:
    """A node in the peer view.

    ``state_version`` is the version of the state within one incarnation; the state with
    the higher (``incarnation``, ``state_version``) wins.
    """

    name: str
    address: str
    data_centre: str
    region: str
    state: PeerState = PeerState.LIVE
    incarnation: int = 0
    state_version: int = 0
    listed: bool = False
    listed_address: str = ""
    heard_s: float = 0.0
    changed_s: float = 0.0


class PeerView:
    """The peers of one node, without the node itself."""

    def __init__(self, own_name: str):
        self._own_name = own_name
        self._peers: dict[str, Peer] = {}
        # Counts changes that affect the selection of neighbours and watchers.
        self.generation = 0

    def get(self, name: str) -> Peer | None:
        """Return a peer."""
        return self._peers.get(name)

    def peers(self) -> list[Peer]:
        """Return all peers."""
        return list(self._peers.values())

    def live(self, data_centre: str | None = None) -> list[Peer]:
        """Return the live peers, optionally of one data centre only."""
        return [
            peer
            for peer in self._peers.values()
            if peer.state is PeerState.LIVE
            and (data_centre is None or peer.data_centre == data_centre)
        ]

    def merge_vm_list(self, entries: Iterable[Mapping[str, str]], now_s: float) -> None:
        """Merge the VM list, which never makes a suspect or leaving node live."""
        listed = {entry["name"]: entry for entry in entries}
        listed.pop(self._own_name, None)
        for name, entry in listed.items():
            self._merge_listed(name, entry, now_s)
        for name, peer in self._peers.items():
            if name not in listed and peer.listed:
                self._peers[name] = replace(peer, listed=False)
        self.forget(now_s)

    def _merge_listed(self, name: str, entry: Mapping[str, str], now_s: float) -> None:
        leaving = entry.get("state", "live") == "leaving"
        state = PeerState.LEAVING if leaving else PeerState.LIVE
        location = (entry["address"], entry["data_centre"], entry["region"])
        old = self._peers.get(name)
        if old is None:
            peer = Peer(name, *location, state, listed=True, heard_s=now_s)
            self._update(replace(peer, listed_address=location[0]), now_s)
            return
        if old.incarnation and location[0] == old.listed_address:
            # What the node has announced itself is newer than this entry.
            location = (old.address, old.data_centre, old.region)
        keep_state = old.state is not PeerState.LIVE and state is PeerState.LIVE
        self._update(
            replace(
                old,
                address=location[0],
                data_centre=location[1],
                region=location[2],
                state=old.state if keep_state else state,
                listed=True,
                listed_address=entry["address"],
            ),
            now_s,
        )

    def record_frame(self, name: str, incarnation: int, now_s: float) -> None:
        """Record an authentic frame, which makes a suspect peer live."""
        peer = self._peers.get(name)
        if peer is None:
            return
        state = peer.state
        restarted = incarnation > peer.incarnation
        if state is PeerState.SUSPECT or (restarted and peer.incarnation):
            state = PeerState.LIVE
        state_version = 0 if restarted else peer.state_version
        self._update(
            replace(
                peer,
                state=state,
                incarnation=max(incarnation, peer.incarnation),
                state_version=state_version,
                heard_s=now_s,
            ),
            now_s,
        )

    def merge_hello(self, peer: Peer, now_s: float) -> None:
        """Merge the state that a peer has announced on its own link."""
        old = self._peers.get(peer.name)
        if old is None:
            self._update(replace(peer, heard_s=now_s), now_s)
            return
        restarted = peer.incarnation > old.incarnation
        state_version = (
            peer.state_version
            if restarted
            else max(peer.state_version, old.state_version)
        )
        # A Hello that was sent before the node began to leave may arrive late.
        is_late = not restarted and peer.state_version < old.state_version
        leaving = old.state is PeerState.LEAVING and is_late
        self._update(
            replace(
                old,
                address=peer.address,
                data_centre=peer.data_centre,
                region=peer.region,
                state=old.state if leaving else peer.state,
                incarnation=max(peer.incarnation, old.incarnation),
                state_version=state_version,
                heard_s=now_s,
            ),
            now_s,
        )

    def merge(self, update: Peer, now_s: float) -> bool:
        """Merge the state of a peer from a peer record; return whether it was newer."""
        old = self._peers.get(update.name)
        if update.name == self._own_name:
            return False
        if old is None:
            self._update(replace(update, heard_s=now_s), now_s)
            return True
        if (update.incarnation, update.state_version) <= (
            old.incarnation,
            old.state_version,
        ):
            return False
        has_location = bool(update.address)
        self._update(
            replace(
                old,
                address=update.address if has_location else old.address,
                data_centre=update.data_centre or old.data_centre,
                region=update.region or old.region,
                state=update.state,
                incarnation=update.incarnation,
                state_version=update.state_version,
            ),
            now_s,
        )
        return True

    def use_listed_address(self, name: str, now_s: float) -> None:
        """Use the address on the VM list for a peer, in place of the one it told.

        The peer's process may have been replaced by one with a lower incarnation.
        """
        peer = self._peers.get(name)
        if peer is not None and peer.listed:
            self._update(replace(peer, address=peer.listed_address), now_s)

    def suspect(self, name: str, now_s: float) -> Peer | None:
        """Mark a live peer suspect; return it if its state changed."""
        peer = self._peers.get(name)
        if peer is None or peer.state is not PeerState.LIVE:
            return None
        peer = replace(
            peer, state=PeerState.SUSPECT, state_version=peer.state_version + 1
        )
        self._update(peer, now_s)
        return self._peers[name]

    def forget(self, now_s: float) -> None:
        """Remove peers that are not on the VM list and have been silent."""
        for name, peer in list(self._peers.items()):
            silent_s = now_s - max(peer.heard_s, peer.changed_s)
            if not peer.listed and silent_s > FORGET_AFTER_S:
                del self._peers[name]
                self.generation += 1

    def _update(self, peer: Peer, now_s: float) -> None:
        old = self._peers.get(peer.name)
        location = ("address", "data_centre", "region", "state")
        changed = old is None or any(
            getattr(old, name) != getattr(peer, name) for name in location
        )
        if changed:
            self.generation += 1
            peer = replace(peer, changed_s=now_s)
        self._peers[peer.name] = peer
