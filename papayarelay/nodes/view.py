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

    ``claim`` is the version of the state within one incarnation; the state with
    the higher (``incarnation``, ``claim``) wins.
    """

    name: str
    address: str
    data_centre: str
    region: str
    state: PeerState = PeerState.LIVE
    incarnation: int = 0
    claim: int = 0
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

    def set_listed(self, entries: Iterable[Mapping[str, str]], now_s: float) -> None:
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
        place = (entry["address"], entry["data_centre"], entry["region"])
        old = self._peers.get(name)
        if old is None:
            peer = Peer(name, *place, state, listed=True, heard_s=now_s)
            self._put(replace(peer, listed_address=place[0]), now_s)
            return
        if old.incarnation and place[0] == old.listed_address:
            # What the node has announced itself is newer than this entry.
            place = (old.address, old.data_centre, old.region)
        keep = old.state is not PeerState.LIVE and state is PeerState.LIVE
        self._put(
            replace(
                old,
                address=place[0],
                data_centre=place[1],
                region=place[2],
                state=old.state if keep else state,
                listed=True,
                listed_address=entry["address"],
            ),
            now_s,
        )

    def heard(self, name: str, incarnation: int, now_s: float) -> None:
        """Record an authentic frame, which makes a suspect peer live."""
        peer = self._peers.get(name)
        if peer is None:
            return
        state = peer.state
        restarted = incarnation > peer.incarnation
        if state is PeerState.SUSPECT or (restarted and peer.incarnation):
            state = PeerState.LIVE
        claim = 0 if restarted else peer.claim
        self._put(
            replace(
                peer,
                state=state,
                incarnation=max(incarnation, peer.incarnation),
                claim=claim,
                heard_s=now_s,
            ),
            now_s,
        )

    def greet(self, peer: Peer, now_s: float) -> None:
        """Merge the state that a peer has announced on its own link."""
        old = self._peers.get(peer.name)
        if old is None:
            self._put(replace(peer, heard_s=now_s), now_s)
            return
        restarted = peer.incarnation > old.incarnation
        claim = peer.claim if restarted else max(peer.claim, old.claim)
        # A Hello that was sent before the node began to leave may arrive late.
        late = not restarted and peer.claim < old.claim
        leaving = old.state is PeerState.LEAVING and late
        self._put(
            replace(
                old,
                address=peer.address,
                data_centre=peer.data_centre,
                region=peer.region,
                state=old.state if leaving else peer.state,
                incarnation=max(peer.incarnation, old.incarnation),
                claim=claim,
                heard_s=now_s,
            ),
            now_s,
        )

    def merge(self, statement: Peer, now_s: float) -> bool:
        """Merge the state of a peer from a peer record; return whether it was newer."""
        old = self._peers.get(statement.name)
        if statement.name == self._own_name:
            return False
        if old is None:
            self._put(replace(statement, heard_s=now_s), now_s)
            return True
        if (statement.incarnation, statement.claim) <= (old.incarnation, old.claim):
            return False
        place_known = bool(statement.address)
        self._put(
            replace(
                old,
                address=statement.address if place_known else old.address,
                data_centre=statement.data_centre or old.data_centre,
                region=statement.region or old.region,
                state=statement.state,
                incarnation=statement.incarnation,
                claim=statement.claim,
            ),
            now_s,
        )
        return True

    def suspect(self, name: str, now_s: float) -> Peer | None:
        """Mark a live peer suspect; return it if its state changed."""
        peer = self._peers.get(name)
        if peer is None or peer.state is not PeerState.LIVE:
            return None
        peer = replace(peer, state=PeerState.SUSPECT, claim=peer.claim + 1)
        self._put(peer, now_s)
        return self._peers[name]

    def forget(self, now_s: float) -> None:
        """Remove peers that are not on the VM list and have been silent."""
        for name, peer in list(self._peers.items()):
            silent_s = now_s - max(peer.heard_s, peer.changed_s)
            if not peer.listed and silent_s > FORGET_AFTER_S:
                del self._peers[name]
                self.generation += 1

    def _put(self, peer: Peer, now_s: float) -> None:
        old = self._peers.get(peer.name)
        place = ("address", "data_centre", "region", "state")
        changed = old is None or any(
            getattr(old, name) != getattr(peer, name) for name in place
        )
        if changed:
            self.generation += 1
            peer = replace(peer, changed_s=now_s)
        self._peers[peer.name] = peer
