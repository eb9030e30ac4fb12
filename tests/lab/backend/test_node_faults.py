"""Tests which nodes may have operating system faults."""

from support.system_faults import day_of

from flintridge.lab.backend.node_faults import NodeFaults
from flintridge.lab.scenario import model as m


def test_nodes_when_no_fault_may_affect_them_then_are_not_started_with_faults(tmp_path):
    faults = NodeFaults(tmp_path, day_of(m.Stall(nodes=(1,))))
    assert [faults.may_affect(node) for node in ("n0", "n1")] == [False, True]
    assert not NodeFaults(tmp_path, day_of(m.Crash(count=1))).may_affect("n0")
    assert faults.counts("n0") == {}
