"""Divides the nodes of a large fleet into groups and assigns engines to them.

Nodes broadcast their in-flight work only within their group, because a broadcast to
the whole fleet costs each node CPU time and bytes that grow with the fleet.  Groups
are formed within a data centre, and each engine serves one group.  A small fleet is
a single group.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass

from ..routing import assign_homes

TARGET_GROUP_NODES = 24
# A fleet of up to this many nodes is a single group across all data centres.
MAX_SINGLE_GROUP_NODES = 16
# A group with less than this fraction of its fair share of the engines gets others.
MIN_SHARE = 0.8


@dataclass(frozen=True)
class Group:
    """Nodes that share engines, in the order of their rank."""

    name: str
    data_centre: str
    nodes: tuple[str, ...]


def divide_into_groups(nodes: Mapping[str, str]) -> tuple[Group, ...]:
    """Return the groups of the nodes; ``nodes`` maps node names to data centres.

    The result depends only on the set of nodes, and adding or removing a node moves
    few of the others.
    """
    if len(nodes) <= MAX_SINGLE_GROUP_NODES:
        return (Group("all", "", _hash_order(nodes)),)
    groups = []
    for data_centre in sorted(set(nodes.values())):
        names = _hash_order(
            {
                n
                for n, node_data_centre in nodes.items()
                if node_data_centre == data_centre
            }
        )
        count = max(1, round(len(names) / TARGET_GROUP_NODES))
        for index in range(count):
            first = index * len(names) // count
            last = (index + 1) * len(names) // count
            name = f"{data_centre}/{index}"
            groups.append(Group(name, data_centre, names[first:last]))
    return tuple(groups)


def group_engines(
    own: Group, groups: tuple[Group, ...], engines: Mapping[str, str]
) -> frozenset[str] | None:
    """Return the engines of a group, or None for all.

    ``engines`` maps engine ids to data centres.  An engine serves a group of its data
    centre, or any group if there is none.  A group that would have far less than its
    fair share, because a data centre has lost its engines or is evacuated, gets
    engines of the groups that have the most.
    """
    if len(groups) == 1:
        return None
    ids_by_group: dict[str, set[str]] = {group.name: set() for group in groups}
    for data_centre in sorted(set(engines.values())):
        ids = sorted(
            each
            for each, node_data_centre in engines.items()
            if node_data_centre == data_centre
        )
        names = [g.name for g in groups if g.data_centre == data_centre]
        homes = assign_homes(ids, names or list(ids_by_group), 1)
        for engine_id, home_names in homes.items():
            for name in home_names:
                ids_by_group[name].add(engine_id)
    _rebalance(groups, ids_by_group)
    return frozenset(ids_by_group[own.name])


def _rebalance(groups: tuple[Group, ...], ids_by_group: dict[str, set[str]]) -> None:
    """Move engines to groups below ``MIN_SHARE`` of their fair share."""
    total = sum(len(part) for part in ids_by_group.values())
    nodes = sum(len(group.nodes) for group in groups)
    fair_shares = {group.name: total * len(group.nodes) / nodes for group in groups}
    for recipient in sorted(ids_by_group):
        while len(ids_by_group[recipient]) + 1 <= MIN_SHARE * fair_shares[recipient]:
            donor = max(
                sorted(ids_by_group),
                key=lambda name: len(ids_by_group[name]) / fair_shares[name],
            )
            if len(ids_by_group[donor]) - 1 < fair_shares[donor]:
                break
            moved = max(ids_by_group[donor], key=lambda each: _hash(recipient, each))
            ids_by_group[donor].remove(moved)
            ids_by_group[recipient].add(moved)


def _hash(first: str, second: str) -> int:
    return zlib.crc32(f"{first}/{second}".encode())


def _hash_order(names) -> tuple[str, ...]:
    return tuple(sorted(names, key=lambda name: (zlib.crc32(name.encode()), name)))
