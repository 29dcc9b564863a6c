"""Tests of a store that is restored from a backup."""

import random
import unittest

import gevent

from ..errors import StoreError
from ..local import wait_for
from ..platform.config import MEMBER
from ..platform.config_rows import CONFIRM_S, REWRITE_EVACUATION_S, REWRITE_S
from ..platform.feed import KEPT_CONFIG_INTERVAL_S, PlatformFeed
from ..platform.node_registry import LEASE_S, NodeRegistry
from ..platform.server_list import OUTAGE_GRACE_S, RENEW_S
from ..platform.store import StoreClient
from ..store.restore import REPLAY_S
from ..store.revision import Revision
from .platform_documents import make_document, make_entry
from .store_standin import StoreStandIn
from .test_platform import load_settings

LIMIT_S = 5.0


class RestoredStoreTest(unittest.TestCase):
    """Guards against a running node that misses a restore."""

    def setUp(self):
        self.standin = StoreStandIn()
        self.addCleanup(self.standin.close)
        self.standin.put("op", "config", make_document(3))
        self.standin.put("servers", "e1", make_entry())
        client = StoreClient(self.standin.address)
        client.start()
        self.addCleanup(client.close)
        self.feed = PlatformFeed(
            client,
            load_settings().bounds,
            lambda config: None,
            lambda name, left_s: None,
        )
        self.feed.start()
        self.addCleanup(self.feed.close)
        self._await_version(3)

    def _await_version(self, version: int) -> None:
        wait_for(
            lambda: self.feed.config.version == version, LIMIT_S, f"version {version}"
        )

    def test_change_after_restore(self):
        """A change after a restore would not be in force until the numbers catch up."""
        backup = self.standin.back_up()
        for number in range(100):
            self.standin.put("servers", "e1", make_entry(sequence=number))
        self.standin.put("op", "config", make_document(4))
        self._await_version(4)
        self.standin.restore(backup)
        self.standin.put("op", "config", make_document(4))
        gevent.sleep(1.0)
        self.standin.put("op", "config", make_document(5))
        with gevent.Timeout(load_settings().bounds.config_s):
            self._await_version(5)

    def test_calls_after_restore(self):
        """A node would read whole tables again and again after a restore."""
        backup = self.standin.back_up()
        for number in range(100):
            self.standin.put("servers", "e1", make_entry(sequence=number))
        gevent.sleep(1.0)
        self.standin.restore(backup)
        before = self.standin.calls.count("rows-get")
        gevent.sleep(3.0)
        self.assertLessEqual(self.standin.calls.count("rows-get") - before, 2)


class NodeUnderTest:
    """The feed of a node, which reads when it is told to."""

    def __init__(self, test: "RestoredRowsTest"):
        self.notifications: list[bytes] = []
        self.cold: dict[str, float] = {}
        self.store = StoreClient(test.standin.address)
        self.store.start()
        test.addCleanup(self.store.close)
        self.feed = PlatformFeed(
            self.store,
            load_settings().bounds,
            lambda config: None,
            self.cold.__setitem__,
            ("a", "b"),
            lambda: test.now_s,
            lambda: test.now_s,
            rank=lambda: 1,
            publish=self.notifications.append,
        )

    @property
    def version(self) -> int:
        """Return the version of the document in force."""
        return self.feed.config.version

    @property
    def states(self) -> dict[str, str]:
        """Return the states of the servers in use."""
        backends = self.feed.config.backends
        return {name: backend.state for name, backend in backends.items()}

    @property
    def keys(self) -> int:
        """Return the number of API keys in force."""
        (organisation,) = self.feed.config.members[MEMBER].organisations.values()
        return len(organisation.key_sha256)

    @property
    def evacuated(self) -> list[str]:
        """Return the evacuated data centres."""
        centres = self.feed.config.data_centres.items()
        return [name for name, each in centres if each.state == "drained"]

    def read(self) -> None:
        """Read both tables."""
        for step in (self.feed._read_config, self.feed._read_servers):
            step()

    def check(self) -> None:
        """Apply what is due."""
        for table in ("op", "servers"):
            self.feed._check_due(table)


class RestoredRowsTest(unittest.TestCase):
    """Guards against rows of a backup in place of newer ones."""

    def setUp(self):
        self.now_s = 100.0
        self.standin = StoreStandIn()
        self.addCleanup(self.standin.close)
        self._put_config(3)
        self._put_server("e1")
        self.node = NodeUnderTest(self)
        self.node.read()
        self.backup = self.standin.back_up()

    def _put_config(self, version: int, *keys: str, **changes: object) -> None:
        tenants = [{"name": "office", "api_keys": list(keys or ("k1", "k2"))}]
        document = make_document(version, tenants=tenants, **changes)
        self.standin.put("op", "config", document)

    def _put_server(self, name: str, host: int = 1, **changes: object) -> None:
        entry = make_entry(address=f"10.0.0.{host}:80", **changes)
        self.standin.put("servers", name, entry)

    def _lose(self, heartbeats: int = 20) -> None:
        """Let the node read, then restore the store from the backup."""
        for number in range(heartbeats):
            self.standin.put("other", "x", {"n": number})
        self.node.read()
        self.standin.restore(self.backup)

    def test_document_in_force_stays(self):
        """A confirmed document would be replaced by the older one of the backup."""
        self._put_config(4)
        self._lose()
        self.node.read()
        self.assertEqual(self.node.version, 4)
        self._put_config(4)
        self._put_config(5)
        self.node.read()
        self.assertEqual(self.node.version, 5)

    def test_numbers_given_out_again(self):
        """A node that slept through a restore would miss rows with lower numbers."""
        self._put_config(4)
        self._lose(heartbeats=5)
        self._put_config(6)
        for number in range(20):
            self.standin.put("other", "x", {"n": number})
        self.node.read()
        self.assertEqual(self.node.version, 6)

    def test_lower_document_number_after_restore(self):
        """A document written after a restore would wait for a higher number."""
        self._put_config(8)
        self._lose()
        self.node.read()
        self._put_config(5, "k3")
        self.node.read()
        self.now_s += REPLAY_S
        self.node.check()
        self.assertEqual((self.node.version, self.node.keys), (5, 1))
        self._put_config(6)
        self.node.read()
        self.assertEqual(self.node.version, 6)

    def test_two_documents_with_one_number(self):
        """A document would be taken for the lost one that had its number."""
        self._put_config(4)
        self._lose()
        self._put_config(4, "k3")
        self.node.read()
        self.assertEqual((self.node.version, self.node.keys), (4, 1))

    def test_documents_written_again_in_order(self):
        """A document would go back while its versions are written again one by one."""
        self._put_config(4)
        self._put_config(5)
        self._lose()
        self.node.read()
        for version in (4, 5):
            self._put_config(version)
            self.node.read()
            self.assertEqual(self.node.version, 5)
        self.now_s += REWRITE_S
        self.node.check()
        self.assertEqual(self.node.version, 5)

    def test_document_never_written_again(self):
        """A lost document would stay in force for good."""
        self._put_config(4)
        self._lose()
        self.node.read()
        self.now_s += REWRITE_S
        self.node.check()
        self.assertEqual(self.node.version, 3)

    def test_revoked_key(self):
        """A key that was revoked after the backup would be accepted again."""
        self._put_config(4, "k1")
        self._lose()
        self.node.read()
        self.assertEqual(self.node.keys, 1)

    def test_revocation_that_this_node_has_not_seen(self):
        """A key would be accepted after a restore that has lost its revocation.

        Found by the soak (seed 804): the node was cut off from the store when the key
        was revoked, and took its configuration for current after the restore.
        """
        self.now_s += 6.0
        self._put_config(4, "k1")
        self.standin.restore(self.backup)
        self.node.read()
        self.assertEqual(self.node.keys, 2)
        self.assertEqual(self.node.feed.config_age_s(), 6.0)
        self._put_config(4, "k1")
        self.node.read()
        self.assertEqual(self.node.keys, 1)
        self.assertEqual(self.node.feed.config_age_s(), 0.0)

    def test_nothing_lost(self):
        """A node would wait for good for changes to be written again."""
        self._lose()
        self.node.read()
        self.now_s += CONFIRM_S
        self.node.read()
        self.assertEqual(self.node.feed.config_age_s(), 0.0)

    def test_peer_that_knows_a_lost_document(self):
        """A node would take over the age of a peer with a newer document in force."""
        peer = NodeUnderTest(self)
        self._put_config(4, "k1")
        peer.read()
        self.standin.restore(self.backup)
        self.now_s += 6.0
        peer.read()
        self.node.read()
        self.now_s += CONFIRM_S
        peer.read()
        self.node.feed.apply_table_reports(peer.feed.table_reports(), self.now_s)
        self.assertEqual(self.node.feed.config_age_s(), 6.0 + CONFIRM_S)

    def test_draining_server(self):
        """A draining server would get requests, as the backup has it as ready."""
        self._put_server("e1", state="draining")
        self._lose()
        self.node.read()
        self.assertEqual(self.node.states, {"e1": "leaving"})
        self.standin.remove("servers", "e1")
        self.node.read()
        self.assertEqual(self.node.states, {})

    def test_new_server(self):
        """A server that registered after the backup would be dropped at once."""
        self._put_server("e2", 2)
        self._lose()
        self.node.read()
        self.assertEqual(sorted(self.node.states), ["e1", "e2"])
        self.now_s += OUTAGE_GRACE_S / 2
        self._put_server("e2", 2)
        self.node.read()
        self.now_s += OUTAGE_GRACE_S
        self.node.check()
        self.assertEqual(sorted(self.node.states), ["e1", "e2"])

    def test_new_server_gone(self):
        """A server that is not listed again would stay in use for good."""
        self._put_server("e2", 2)
        self._lose()
        self.node.read()
        self.now_s += OUTAGE_GRACE_S
        self.node.check()
        self.assertEqual(sorted(self.node.states), ["e1"])

    def test_removed_server(self):
        """A server that was gone would get requests, as the backup has its entry."""
        self.standin.remove("servers", "e1")
        self._lose()
        self.node.read()
        self.assertEqual(self.node.states, {})
        self.standin.remove("servers", "e1")
        self.node.read()
        self.now_s += RENEW_S
        self.node.check()
        self.assertEqual(self.node.states, {})

    def test_expired_server_renews(self):
        """A live server whose entry had expired would stay out of use for good."""
        self.standin.remove("servers", "e1")
        self._lose()
        self.node.read()
        self._put_server("e1")
        self.node.read()
        self.assertEqual(self.node.states, {"e1": "active"})

    def test_restored_server_that_stays(self):
        """An entry that stays in a restored store would never be used."""
        self.standin.remove("servers", "e1")
        self._lose()
        self.node.read()
        self.now_s += RENEW_S
        self.node.check()
        self.assertEqual(self.node.states, {"e1": "active"})

    def test_address_in_use_again(self):
        """The former server at an address would be used in place of the new one."""
        self.standin.remove("servers", "e1")
        self._put_server("e9", 1, born=1_800_000_000_000)
        self._lose()
        self.node.read()
        self.assertEqual(self.node.states, {"e9": "active"})

    def test_restarted_server(self):
        """The former incarnation of a server would replace the running one."""
        self._put_server("e1", 5, born=1_800_000_000_000)
        self._lose()
        self.node.read()
        self.assertEqual(self.node.feed.config.backends["e1"].url, "http://10.0.0.5:80")

    def test_evacuation(self):
        """An evacuated data centre would get requests until it is evacuated again."""
        self.standin.put("op", "evacuate/b", {})
        self._lose()
        self.node.read()
        self.assertEqual(self.node.evacuated, ["b"])
        self.standin.put("op", "evacuate/b", {})
        self.node.read()
        self.now_s += REWRITE_S
        self.node.check()
        self.assertEqual(self.node.evacuated, ["b"])
        self.standin.remove("op", "evacuate/b")
        self.node.read()
        self.assertEqual(self.node.evacuated, [])

    def test_evacuation_that_had_ended(self):
        """A data centre in use would be left out, as the backup has its evacuation."""
        self.standin.put("op", "evacuate/b", {})
        self.node.read()
        self.backup = self.standin.back_up()
        self.standin.remove("op", "evacuate/b")
        self._lose()
        self.node.read()
        self.assertEqual(self.node.evacuated, [])
        self.standin.remove("op", "evacuate/b")
        self.standin.put("op", "evacuate/b", {})
        self.node.read()
        self.assertEqual(self.node.evacuated, ["b"])

    def test_evacuation_whose_end_another_node_has_missed(self):
        """A data centre would be evacuated by the word of a node that was cut off.

        Found by the soak (seed 853): all nodes left its servers idle for 10 s.
        """
        self.standin.put("op", "evacuate/b", {})
        self.node.read()
        other = NodeUnderTest(self)
        other.read()
        self.standin.remove("op", "evacuate/b")
        self.node.read()
        self.standin.restore(self.backup)
        self.node.read()
        other.read()
        other.notifications.clear()
        other.check()
        self.node.feed.apply_notification(other.notifications[0])
        self.assertEqual(self.node.evacuated, [])
        self.now_s += REWRITE_EVACUATION_S
        other.check()
        self.assertEqual(other.evacuated, [])

    def test_new_process_after_restore(self):
        """A node that starts after a restore would serve the document of the backup."""
        self._put_config(4, "k1")
        self.standin.put("op", "evacuate/b", {})
        self._lose()
        self.node.read()
        other = NodeUnderTest(self)
        other.read()
        self.assertEqual(other.version, 3)
        self.node.notifications.clear()
        self.node.feed.announce_kept_config()
        self.node.check()
        other.feed.apply_notification(self.node.notifications[0])
        self.assertEqual((other.version, other.keys), (4, 1))
        self.assertEqual(other.evacuated, ["b"])
        self._put_config(5)
        other.read()
        self.assertEqual(other.version, 5)

    def test_late_message_about_lost_document(self):
        """A delayed message would bring back a document that was replaced since."""
        self._put_config(8)
        self._lose()
        self.node.read()
        other = NodeUnderTest(self)
        self.node.check()
        self._put_config(5)
        other.read()
        other.feed.apply_notification(self.node.notifications[-1])
        self.assertEqual(other.version, 5)

    def test_messages_about_lost_document_are_few(self):
        """Every node of a group would send the lost document at every check."""
        self._put_config(4)
        self._lose()
        self.node.read()
        self.node.notifications.clear()
        for _ in range(5):
            self.node.check()
        self.assertEqual(len(self.node.notifications), 1)
        self.now_s += KEPT_CONFIG_INTERVAL_S
        self.node.feed.apply_notification(self.node.notifications[0])
        self.node.check()
        self.assertEqual(len(self.node.notifications), 1)

    def test_notification_of_an_earlier_era(self):
        """A delayed notification would bring back rows that a restore has removed."""
        peer = NodeUnderTest(self)
        peer.read()
        peer.notifications.clear()
        self._put_server("e2", 2)
        peer.read()
        self.standin.restore(self.backup)
        self.node.read()
        self.node.feed.apply_notification(peer.notifications[0])
        self.assertEqual(sorted(self.node.states), ["e1"])

    def test_report_of_a_later_era(self):
        """A node would take its copy for current though a peer has seen a restore."""
        peer = NodeUnderTest(self)
        self._put_config(4)
        self._lose()
        self._put_config(5)
        peer.read()
        self.now_s += 3.0
        self.node.feed.apply_table_reports(peer.feed.table_reports(), self.now_s)
        self.assertEqual(self.node.feed.config_age_s(), 3.0)
        self.assertEqual(self.node.feed._time_until_read_s("op"), 0.0)
        self.node.read()
        self.assertEqual(self.node.version, 5)

    def test_same_content_after_restore(self):
        """Every node would read a table that a restore has left as it was."""
        peer = NodeUnderTest(self)
        peer.read()
        self._lose()
        peer.read()
        calls = len(self.standin.calls)
        self.now_s += 0.5
        self.node.feed.apply_table_reports(peer.feed.table_reports(), self.now_s)
        self.assertEqual(self.node.feed.config_age_s(), 0.5)
        self.assertEqual(len(self.standin.calls), calls)
        self.assertEqual(self.node.feed._tables["op"].revision.era, 1)

    def test_late_answer(self):
        """A late answer from before a restore would replace newer rows."""
        self._put_config(4)
        self._lose()
        self.node.read()
        self.standin.era_header = "0"
        with self.assertRaises(StoreError):
            self.node.feed._read_config()
        self.assertEqual(self.node.feed._tables["op"].revision.era, 1)

    def test_missing_or_invalid_header(self):
        """A node would stop following a store whose answers name no valid era."""
        self._lose()
        self.node.read()
        for version, header in enumerate(("", "x", "-1", "²", "9" * 40), start=4):
            self.standin.era_header = header
            self._put_config(version)
            self.node.read()
            self.assertEqual(self.node.version, version)

    def test_missed_restore(self):
        """A node that missed one of two restores would take its rows for current."""
        self._put_config(4)
        self._lose()
        self.standin.restore(self.backup)
        self._put_config(7)
        for number in range(30):
            self.standin.put("other", "x", {"n": number})
        self.node.read()
        self.assertEqual(self.node.version, 7)

    def test_second_restore_before_rewriting(self):
        """A second restore would bring back the document of the first backup."""
        self._put_config(4)
        self._lose()
        self.node.read()
        self.standin.restore(self.backup)
        self.node.read()
        self.assertEqual(self.node.version, 4)

    def test_invalid_document_after_restore(self):
        """An invalid document would replace the one that a restore has lost."""
        self._put_config(4)
        self._lose()
        self.node.read()
        self.standin.put("op", "config", {"version": "x"})
        self.node.read()
        self.assertEqual(self.node.version, 4)

    def test_rows_of_nodes(self):
        """A node whose row a restore has lost would be unknown to new nodes."""
        node = self._make_registry("n1")
        node.start()
        self.addCleanup(node.close)
        rows = self.standin.rows.tables
        wait_for(lambda: "n1" in rows.get("nodes", {}), LIMIT_S, "row")
        gevent.sleep(2.0)
        self.standin.restore(self.backup)
        node._store.read("op")
        wait_for(
            lambda: "n1" in self.standin.rows.tables.get("nodes", {}), LIMIT_S, "row"
        )

    def test_removal_after_restore(self):
        """The row of a live node would be removed, as its version was given out again.

        A node removes expired rows under the condition that they have the versions
        that it has read, and after a restore these may be those of renewed rows.
        """
        self._make_registry("n1").renew()
        other = self._make_registry("n2")
        self.standin.clock_offset_s = LEASE_S + 10
        other.read()
        self.standin.rows.era += 1
        other._store.read("op")
        other.remove_expired()
        self.assertFalse(self.standin.rows.tables["nodes"]["n1"].removed)

    def test_store_clock_set_back(self):
        """Rows of dead nodes would never expire after the store's clock went back."""
        self.standin.clock_offset_s = 10 * LEASE_S
        self._make_registry("n1").renew()
        self.standin.clock_offset_s = 0.0
        listed = []
        other = self._make_registry("n2", listed.append)
        other.read()
        self.assertEqual(listed, [{}])

    def _make_registry(self, name: str, on_read=lambda listed: None) -> NodeRegistry:
        store = StoreClient(self.standin.address)
        store.start()
        self.addCleanup(store.close)
        registry = NodeRegistry(
            store, name, "10.0.0.1:7340", "a", on_read, random.Random(1), lambda: True
        )
        store.on_restored = registry.renew_soon
        return registry


class RevisionTest(unittest.TestCase):
    """Guards against revisions that are compared by their numbers alone."""

    def test_order(self):
        """A transaction after a restore would count as older than those before."""
        self.assertGreater(Revision(1, 5), Revision(0, 900))
        self.assertGreater(Revision(1, 6), Revision(1, 5))
