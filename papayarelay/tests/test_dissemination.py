"""Tests of record dissemination: versions, priorities and the byte bucket."""

import random
import unittest

import msgspec

from ..nodes.codec import Batch, Record
from ..nodes.config_state import ConfigChange, ConfigState
from ..nodes.dissemination import (
    BURST_BYTES,
    MAX_CHANGE_BYTES,
    MAX_DEBT_BYTES,
    MAX_RECORDS_BYTES,
    PACKED_BYTES,
    URGENT_KINDS,
    ByteBucket,
    Disseminator,
    Entry,
    RecordKind,
    received_entries,
)
from ..nodes.load_record import LoadRecord, id_hash, pack_value, unpack_value


def make_batch(records=(), loads=b"", summaries=b""):
    """Return a message with records."""
    return Batch(0, 0, [], True, 0, 0, list(records), loads, summaries)


class Pair:
    """Two nodes with a link in each direction; frames can be lost."""

    def __init__(self, first, second):
        self.nodes = {first[0]: first[1], second[0]: second[1]}
        self.sequences = dict.fromkeys(self.nodes, 0)
        for name, other in ((first[0], second[0]), (second[0], first[0])):
            self.nodes[name].open(other, True, 0.0)

    def send(self, name, now_s, lost=False):
        """Send one frame from a node; return the number of records."""
        (other,) = self.nodes.keys() - {name}
        disseminator = self.nodes[name]
        outbox = disseminator.outbox(other)
        taken, records, loads, summaries = disseminator.batch(outbox, True, now_s)
        self.sequences[name] += 1
        sequence = self.sequences[name]
        outbox.track(sequence, taken)
        if not lost:
            message = make_batch(records, loads, summaries)
            for entry in received_entries(message, now_s):
                self.nodes[other].merge(entry, name)
        outbox.acknowledge(sequence, [sequence] if lost else [])
        return len(taken)


def content(disseminator):
    """Return keys, versions and values of all records."""
    return {entry.id: (entry.version, entry.value) for entry in disseminator.entries()}


class LoadRecordTest(unittest.TestCase):
    def test_quantised(self):
        """Guards against a record over 16 bytes or with an error over 5%."""
        record = LoadRecord("e", "cold", 1_000_000, 250_000, 70_000, 33, 8_000.0, 4.0)
        value = pack_value(record)
        self.assertLessEqual(PACKED_BYTES, 16)
        copy = unpack_value("e", value, 4.0)
        self.assertEqual((copy.id, copy.state, copy.reported_s), ("e", "cold", 4.0))
        for name in ("kv_capacity_tokens", "queued_prefill_tokens", "running"):
            wanted = getattr(record, name)
            self.assertAlmostEqual(getattr(copy, name), wanted, delta=wanted * 0.05)
        used = copy.kv_used_tokens / copy.kv_capacity_tokens
        self.assertAlmostEqual(used, 0.25, delta=0.01)

    def test_age_without_common_clock(self):
        """Guards against timestamps of the sender's clock used on the receiver's."""
        disseminator = Disseminator()
        disseminator.open("b", True, 0.0)
        disseminator.publish(RecordKind.LOAD, id_hash("e"), bytes(5), 1_000.0)
        _, _, loads, _ = disseminator.batch(disseminator.outbox("b"), True, 1_002.0)
        (entry,) = received_entries(make_batch(loads=loads), 50.0)
        self.assertAlmostEqual(entry.published_s, 48.0, delta=0.1)

    def test_refuses_malformed_records(self):
        """Guards against invalid records in authentic messages."""
        for batch in (
            make_batch([Record(RecordKind.LOAD, "e", 1, 0, b"x")]),
            make_batch([Record(99, "e", 1, 0, b"x")]),
            make_batch([Record(RecordKind.COLD, "e", 1, -5, b"x")]),
            make_batch([Record(RecordKind.COLD, "e", 1, 5, b"")]),
            make_batch(loads=bytes(PACKED_BYTES + 1)),
        ):
            with self.assertRaises(ValueError):
                received_entries(batch, 0.0)


class DisseminatorTest(unittest.TestCase):
    def test_version_never_goes_back(self):
        """Guards against an older record that replaces a newer one."""
        disseminator = Disseminator()
        newer = Entry(RecordKind.COLD, "e", 5, b"\x01", 0.0)
        older = Entry(RecordKind.COLD, "e", 4, b"\x00", 9.0)
        disseminator.merge(newer, "a")
        new, _ = disseminator.merge(older, "b")
        self.assertFalse(new)
        self.assertEqual(disseminator.get(RecordKind.COLD, "e"), newer)

    def test_equal_versions_agree(self):
        """Guards against divergence when nodes publish one version concurrently."""
        marks = [
            Entry(RecordKind.DRAIN, "d", 3, bytes((value,)), 0.0) for value in range(3)
        ]
        for order in (marks, marks[::-1]):
            disseminator = Disseminator()
            for entry in order:
                disseminator.merge(entry, "a")
            self.assertEqual(disseminator.get(RecordKind.DRAIN, "d").value, b"\x02")

    def test_mark_of_a_node_that_knew_no_older_one(self):
        """Guards against a new drain that loses to an older one of higher version.

        The publishing node does not know the older drain, so it starts at version 1.
        """
        disseminator = Disseminator()
        disseminator.publish(RecordKind.DRAIN, "d", b"\x02", 100.0)
        new, _ = disseminator.merge(Entry(RecordKind.DRAIN, "d", 8, b"\x00", 40.0), "a")
        self.assertFalse(new)
        entry = disseminator.get(RecordKind.DRAIN, "d")
        self.assertEqual((entry.version, entry.value), (9, b"\x02"))

    def test_lost_frame_is_sent_again(self):
        """Guards against a record that is lost with its frame."""
        pair = Pair(("a", Disseminator()), ("b", Disseminator()))
        pair.nodes["a"].publish(RecordKind.DRAIN, "d", b"\x02", 0.0)
        self.assertEqual(pair.send("a", 0.0, lost=True), 1)
        self.assertEqual(pair.send("a", 1.0), 1)
        self.assertEqual(pair.send("a", 2.0), 0)
        self.assertEqual(content(pair.nodes["a"]), content(pair.nodes["b"]))

    def test_priorities_in_bounded_messages(self):
        """Guards against loads that delay urgent records, and oversized frames."""
        disseminator = Disseminator()
        outbox = disseminator.open("b", True, 0.0)
        for number in range(200):
            disseminator.publish(RecordKind.LOAD, number, bytes(5), 0.0)
            disseminator.publish(RecordKind.COLD, f"e{number}", b"\x01", 0.0)
        disseminator.publish(RecordKind.DRAIN, "d", b"\x02", 0.0)
        order = []
        while taken := disseminator.batch(outbox, True, 0.0)[0]:
            self.assertLessEqual(sum(e.size_bytes for e in taken), MAX_RECORDS_BYTES)
            order += [entry.kind for entry in taken]
        self.assertEqual(order, sorted(order))
        self.assertEqual(len(order), 401)

    def test_load_stays_in_its_data_centre(self):
        """Guards against load records that use the budget of other data centres."""
        disseminator = Disseminator()
        outbox = disseminator.open("b", False, 0.0)
        disseminator.publish(RecordKind.LOAD, 1, bytes(5), 0.0)
        disseminator.publish(RecordKind.SUMMARY, 2, bytes(5), 0.0)
        taken, *_ = disseminator.batch(outbox, True, 0.0)
        self.assertEqual([entry.kind for entry in taken], [RecordKind.SUMMARY])

    def test_random_schedules_converge(self):
        """Guards against lost updates under loss and concurrent publication."""
        for seed in range(30):
            rng = random.Random(seed)
            names = [f"n{number}" for number in range(6)]
            nodes = {name: Disseminator() for name in names}
            order = list(zip(names, names[1:] + names[:1], strict=True))
            pairs = [Pair((a, nodes[a]), (b, nodes[b])) for a, b in order]
            for step in range(150):
                now_s = step * 0.1
                if step < 100:
                    kind = rng.choice(
                        [*URGENT_KINDS[1:], RecordKind.LOAD, RecordKind.SUMMARY]
                    )
                    key = rng.randrange(3)
                    value = bytes((rng.randrange(3),)) * 5
                    name = key if kind not in URGENT_KINDS else f"k{key}"
                    nodes[rng.choice(names)].publish(kind, name, value, now_s)
                for pair in rng.sample(pairs, len(pairs)):
                    for name in pair.nodes:
                        pair.send(name, now_s, lost=step < 100 and rng.random() < 0.4)
            contents = [content(disseminator) for disseminator in nodes.values()]
            for other in contents[1:]:
                self.assertEqual(other, contents[0], f"seed {seed}")
            self.assertEqual(
                len({disseminator.digest() for disseminator in nodes.values()}), 1
            )


class ByteBucketTest(unittest.TestCase):
    def test_rate_holds_over_a_minute(self):
        """Guards against a rate above 3 KB/s for sending and receiving together."""
        rng = random.Random(5)
        bucket = ByteBucket(1_400.0, BURST_BYTES, MAX_DEBT_BYTES, 0.0)
        sent, now_s = 0, 0.0
        while now_s < 60:
            now_s += rng.uniform(0, 0.02)
            size = rng.randrange(100, 1_500)
            if bucket.allows(rng.random() < 0.5, now_s):
                bucket.debit(size, now_s)
                sent += size
        self.assertLessEqual(sent, 1_400 * 60 + BURST_BYTES + MAX_DEBT_BYTES + 1_500)

    def test_urgent_before_load(self):
        """Guards against load records that delay urgent ones by using their budget."""
        bucket = ByteBucket(1_400.0, BURST_BYTES, MAX_DEBT_BYTES, 0.0)
        bucket.debit(int(BURST_BYTES), 0.0)
        self.assertFalse(bucket.allows(False, 0.0))
        self.assertTrue(bucket.allows(True, 0.0))
        wait_s = bucket.wait_s(False, 0.0)
        self.assertTrue(bucket.allows(False, wait_s))


def make_changes(rng, count):
    """Return the sections of all versions and the changes between them."""
    history = {1: {"backends": {"e0": 0}, "limits": {"a": 1}}}
    changes = []
    author = ConfigState()
    author.replace(1, history[1], 0.0)
    for version in range(2, count + 2):
        section = dict(author.sections["backends"])
        section[f"e{rng.randrange(5)}"] = version
        section.pop(f"e{rng.randrange(5)}", None)
        changes.append(author.replace(version, {"backends": section}, 0.0))
        history[version] = author.sections
    return history, changes


class ConfigStateTest(unittest.TestCase):
    def test_changes_in_any_order(self):
        """Guards against version rollback and content of another version.

        Changes arrive twice and in random order.
        """
        for seed in range(50):
            rng = random.Random(seed)
            history, changes = make_changes(rng, 12)
            state = ConfigState()
            state.replace(1, history[1], 0.0)
            arrivals = changes * 2
            rng.shuffle(arrivals)
            version = 1
            for change in arrivals:
                data = msgspec.msgpack.encode(change)
                state.apply(msgspec.msgpack.decode(data, type=ConfigChange), 0.0)
                self.assertGreaterEqual(state.version, version)
                version = state.version
                self.assertEqual(state.sections, history[version], f"seed {seed}")
            self.assertEqual(version, 13)

    def test_older_version_is_refused(self):
        """Guards against version rollback after a slow read of the store."""
        state = ConfigState()
        state.replace(5, {"limits": {"a": 5}}, 0.0)
        self.assertIsNone(state.replace(4, {"limits": {"a": 4}}, 0.0))
        self.assertEqual((state.version, state.sections), (5, {"limits": {"a": 5}}))

    def test_change_inside_a_large_section(self):
        """Guards against a whole section that is sent for one changed entry."""
        organisations = {f"o{n}": {"key_sha256": ["0" * 64]} for n in range(650)}
        members = {"m": {"share": 0.5, "organisations": organisations}}
        state = ConfigState()
        state.replace(1, {"members": members}, 0.0)
        other = ConfigState()
        other.replace(1, {"members": members}, 0.0)
        changed = {**organisations, "o3": {"key_sha256": []}, "new": {"weight": 2}}
        del changed["o5"]
        new = {"members": {"m": {"share": 0.4, "organisations": changed}}}
        change = state.replace(2, new, 0.0)
        self.assertLess(len(msgspec.msgpack.encode(change)), MAX_CHANGE_BYTES)
        self.assertEqual(other.apply(change, 0.0), ["members"])
        self.assertEqual(other.sections, new)

    def test_null_is_not_taken_for_a_removal(self):
        """Guards against an entry that a null in a merge patch would remove."""
        state = ConfigState()
        state.replace(1, {"limits": {"a": 1}}, 0.0)
        self.assertIsNone(state.replace(2, {"limits": {"a": {"b": None}}}, 0.0))
        self.assertEqual(state.version, 2)

    def test_gap_is_not_skipped(self):
        """Guards against a change that is applied to another version than its base."""
        history, changes = make_changes(random.Random(1), 3)
        state = ConfigState()
        state.replace(1, history[1], 0.0)
        self.assertEqual(state.apply(changes[2], 0.0), [])
        self.assertEqual((state.version, state.newest), (1, 4))
