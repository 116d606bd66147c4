"""Tests of the list of hosts and of rendezvous hashing."""

from collections import Counter

from foxtailseam.hosts import (
    balanced_orders,
    parse_hosts,
    rendezvous_order,
    rendezvous_subset,
)

HOSTS = """{"hosts": [
  {"name": "a", "failure_domain": "west", "state": "live",
   "entry": "127.0.0.1:1", "gathers": ["127.0.0.1:2"]},
  {"name": "b", "failure_domain": "east", "state": "leaving",
   "entry": "127.0.0.1:3", "gathers": ["127.0.0.1:4"]}],
  "leaving_searchers": ["127.0.0.1:9"]}"""


class TestParseHosts:
    def test_gathers_of_leaving_hosts_are_left_out(self):
        hosts = parse_hosts(HOSTS).unwrap()
        assert hosts.gathers == ("127.0.0.1:2",)
        assert len(hosts.processes) == 4
        assert hosts.failure_domain("east") == ()
        assert hosts.leaving_searchers == {"127.0.0.1:9"}

    def test_an_error_names_the_field(self):
        error = parse_hosts(HOSTS.replace('"leaving"', '"gone"')).unwrap_err()
        assert "hosts" in error
        assert "gone" in error


class TestRendezvousOrder:
    NODES = tuple(f"10.0.0.{number}:7001" for number in range(12))

    def test_the_order_of_the_nodes_does_not_matter(self):
        first = rendezvous_order("key", self.NODES)
        assert first == rendezvous_order("key", reversed(self.NODES))

    def test_removing_a_node_moves_only_its_keys(self):
        for number in range(200):
            order = rendezvous_order(f"key-{number}", self.NODES)
            remaining = [node for node in self.NODES if node != self.NODES[3]]
            expected = order[1] if order[0] == self.NODES[3] else order[0]
            assert rendezvous_order(f"key-{number}", remaining)[0] == expected

    def test_owners_and_backups_are_spread_evenly(self):
        orders = [rendezvous_order(f"key-{n}", self.NODES) for n in range(6_000)]
        owners = Counter(order[0] for order in orders)
        assert min(owners.values()) > 400
        assert max(owners.values()) < 600
        backups = Counter(order[1] for order in orders if order[0] == self.NODES[0])
        assert len(backups) == len(self.NODES) - 1

    def test_balanced_owners_are_even_in_any_input_order(self):
        keys = [f"family/shard-{number:02}" for number in range(20)]
        orders = balanced_orders(keys, self.NODES[:6])
        key_counts = Counter(order[0] for order in orders.values())
        assert max(key_counts.values()) == 4
        assert orders == balanced_orders(reversed(keys), reversed(self.NODES[:6]))
        assert all(len(set(order)) == 6 for order in orders.values())

    def test_a_subset_is_the_start_of_the_order(self):
        order = rendezvous_order("key", self.NODES)
        assert rendezvous_subset("key", self.NODES, 3) == set(order[:3])
