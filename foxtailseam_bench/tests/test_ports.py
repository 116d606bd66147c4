"""Tests of the reservation of ports."""

import os

import pytest

from foxtailseam_bench._ports import BLOCK_SIZE, BLOCKS, PortReservation


class TestPortReservation:
    def test_two_test_runs_at_the_same_time_have_different_ports(self, tmp_path):
        first, second = PortReservation(tmp_path), PortReservation(tmp_path)
        ports = [*first.take(3), *second.take(3), *first.take(3)]
        assert len(set(ports)) == len(ports)

    def test_one_run_gets_more_ports_than_a_block_has(self, tmp_path):
        ports = PortReservation(tmp_path).take(BLOCK_SIZE + 1)
        assert len(set(ports)) == BLOCK_SIZE + 1

    def test_ports_of_a_process_that_has_ended_are_used_again(self, tmp_path):
        def take_in_child():
            reader, writer = os.pipe()
            child = os.fork()
            if not child:
                port = PortReservation(tmp_path).take(1)[0]
                os.write(writer, str(port).encode())
                os._exit(0)
            os.waitpid(child, 0)
            os.close(writer)
            with os.fdopen(reader) as stream:
                return int(stream.read())

        assert take_in_child() == take_in_child()

    def test_it_fails_when_other_processes_have_all_blocks(self, tmp_path):
        other = PortReservation(tmp_path)
        for block in range(BLOCKS):
            assert other._lock(block)
        with pytest.raises(OSError, match="blocks of ports are in use"):
            PortReservation(tmp_path).take(1)
