"""Tests of the orders to evacuate failure domains."""

from foxtailseam.evacuation import EvacuationOrders


class TestEvacuationOrders:
    def test_an_order_stands_until_it_is_revoked(self):
        orders = EvacuationOrders().issue("d1").issue("d2")
        assert orders.domains == {"d1", "d2"}
        assert orders.expire(1e9).domains == {"d1", "d2"}
        assert orders.revoke("d1", 5.0, 0.0).domains == {"d2"}

    def test_a_missing_order_is_kept_for_its_grace_period(self):
        # An older copy of the service's data may lack an order that stands.
        orders = EvacuationOrders().issue("d1").revoke("d1", 5.0, 7.0)
        assert orders.expire(6.9).domains == {"d1"}
        assert orders.expire(7.0).domains == set()

    def test_an_order_that_is_written_again_outlasts_the_grace_period(self):
        orders = EvacuationOrders().issue("d1").revoke("d1", 5.0, 7.0).issue("d1")
        assert orders.expire(8.0).domains == {"d1"}

    def test_a_second_removal_neither_ends_nor_extends_the_grace_period(self):
        orders = EvacuationOrders().issue("d1").revoke("d1", 5.0, 7.0)
        assert orders.revoke("d1", 6.0, 0.0) is orders
        assert orders.revoke("d1", 6.0, 9.0) is orders

    def test_a_second_older_copy_extends_the_grace_period(self):
        orders = EvacuationOrders().issue("d1").revoke("d1", 5.0, 7.0).extend(8.5)
        assert orders.expire(8.4).domains == {"d1"}
        assert orders.expire(8.5).domains == set()

    def test_an_unknown_order_is_not_kept(self):
        assert EvacuationOrders().revoke("d1", 5.0, 7.0).domains == set()
