"""Tests of what the tests of crowds start processes with."""

from verbenagrade.platform.tests.crowds.processes import free_ports, own_host

PORTS = 500


# Guards against a process that ends while it starts, as two of its ports are the same.
def test_ports_of_one_process_are_different():
    assert len(set(free_ports(own_host(), PORTS))) == PORTS
