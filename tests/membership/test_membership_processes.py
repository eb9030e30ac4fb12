"""Membership of real processes, connected by relays that inject faults.

No test depends on how long something takes: each waits for the expected state, with a time limit that only a
broken program reaches.
"""

import asyncio
import contextlib
import json
import signal
import subprocess
import sys

import pytest

from flintridge.lab.partial.rig import Rig


def run(count, work, seed=3, quiet=True):
    """Run `work(rig)` with `count` nodes of one fleet; if `quiet`, no rule on peers may be violated."""

    async def play():
        async with Rig(count, seed) as rig:
            await work(rig)
            if quiet:
                assert [breach.text for breach in rig.violations()] == []
            assert not rig.nodes.unexpected_ends
            return [rig.nodes.pid(name) for name in rig.names]

    for pid in asyncio.run(asyncio.wait_for(play(), 120)):
        assert subprocess.run(["kill", "-0", str(pid)], capture_output=True).returncode != 0


def test_reachability_when_one_of_five_nodes_restarts_within_200_ms_then_is_complete_again():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        epoch = (await rig.request_admin("n1"))["epoch"]
        rig.kill("n0")
        await rig.nodes.ended("n0")
        await rig.nodes.start("n0")
        await rig.wait_until(
            lambda: {"heard"} <= set(rig.member_states("n1", "n0"))
            and len(rig.member_states("n1", "n0")) == 2
        )
        await rig.wait_until(lambda: rig.member_states("n1", "n0").count("silent") == 1)
        await rig.wait_until(rig.all_reachable)
        assert (await rig.request_admin("n1"))["epoch"] > epoch

    run(5, work)


def test_reachability_when_a_link_is_cut_one_way_then_keeps_both_nodes_through_others():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        rig.cut([0], [1], both=False)
        await rig.wait_until(lambda: rig.member_states("n1", "n0") == ["through"])
        assert rig.member_states("n0", "n1") in (["heard"], ["through"])
        await rig.wait_until(rig.all_reachable)

    run(4, work)


def test_reachability_when_three_partitions_heal_in_another_order_then_is_complete_again():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        for a, b in ((0, 2), (0, 4), (2, 4)):
            rig.cut([a, a + 1], [b, b + 1])
        await rig.wait_until(lambda: rig.all_reachable(count=2))
        rig.set_link_faults([4, 5], [0, 1])
        await rig.wait_until(lambda: rig.all_reachable(("n0", "n1", "n4", "n5"), count=4))
        rig.set_link_faults([2, 3], [4, 5])
        # Through n4 and n5, though the links between n0 and n2 are still cut.
        await rig.wait_until(rig.all_reachable)
        rig.heal()
        await rig.wait_until(lambda: rig.member_states("n0", "n2") == ["heard"])

    run(6, work)


def test_reachability_when_a_third_of_datagrams_is_lost_then_still_follows_an_ended_node():
    async def work(rig):
        everyone = range(len(rig.names))
        rig.set_link_faults(everyone, everyone, loss=0.3, duplication=0.2, jitter_ms=150)
        await rig.wait_until(rig.all_reachable)
        seen = len(rig.log_lines("peers_heard"))
        rig.kill("n3")
        await rig.wait_until(lambda: rig.all_reachable(("n0", "n1", "n2"), count=3))
        assert len(rig.log_lines("peers_heard")) > seen
        # Duplicated datagrams are dropped as replayed.
        await rig.wait_for_counters("n0", lambda counts: counts.get("dropped_replayed", 0) > 0)

    run(4, work)


def test_reachability_when_a_process_was_paused_then_is_reset_and_accuses_no_member():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        rig.nodes.pause("n0")
        await rig.wait_until(lambda: rig.all_reachable(rig.names[1:], count=3))
        rig.nodes.resume("n0")
        await rig.wait_until(lambda: rig.log_lines("peers_gap", "n0"))
        await rig.wait_until(rig.all_reachable)
        assert (await rig.request_admin("n0"))["counts"]["gaps"] >= 1

    run(4, work)


def test_sync_when_the_peer_is_killed_during_it_then_fails_and_others_are_reached():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        rig.cut([0], [2])
        rig.set_link_faults([0], [1], added_delay_ms=400)  # datagrams still arrive, exchanges take seconds
        rig.kill("n0")
        await rig.nodes.ended("n0")
        relay = rig.network.relays["n0", "n1"]
        await rig.wait_until(lambda: relay.stream_count == 0)  # the previous process has no connections left
        await rig.nodes.start("n0")
        await rig.wait_until(lambda: relay.stream_count > 0)
        rig.kill("n1")
        await rig.wait_until(lambda: rig.log_lines("peers_sync_failed", "n0"))
        rig.heal()
        await rig.wait_until(lambda: rig.all_reachable(("n0", "n2"), count=2))

    run(3, work)


def test_upgrade_when_the_old_process_ends_then_the_new_one_takes_over_the_address():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        host, _ = rig.fabric.address("listen", "n0")
        console = (host, rig.network.admin_address("n0")[1] + 1)
        beside = await rig.nodes.start_beside("n0", "{}:{}".format(*console))
        await rig.wait_until(lambda: rig.member_states("n1", "n0") == ["heard", "heard"])
        assert not rig.log_lines("peers_own_name")  # an upgrade is not a duplicate name
        rig.nodes.term("n0")
        await rig.wait_until(lambda: rig.member_states("n1", "n0") == ["heard", "left"])
        await rig.wait_until(lambda: rig.log_lines("peers_address_taken_over", beside))
        await rig.wait_until(lambda: rig.all_reachable(("n1", "n2")))

    run(3, work, quiet=False)  # the judge assumes one process per node


def test_configuration_when_two_nodes_have_one_name_then_is_logged_and_both_keep_running():
    async def work(rig):
        rig.network.name_overrides["n2"] = "n1"
        rig.kill("n2")
        await rig.nodes.ended("n2")
        await rig.nodes.start("n2")
        await rig.wait_until(lambda: rig.log_lines("peers_own_name", "n1"))
        assert json.loads(rig.log_lines("peers_own_name", "n1")[0].fields)["answered_by"] in ("n0", "n3")
        (logged,) = rig.log_lines("peers_wrong_address", "n0")
        assert [json.loads(logged.fields)[name] for name in ("peer", "answers")] == ["n2", "n1"]
        await rig.wait_until(lambda: rig.all_reachable(("n0", "n1"), count=3))
        assert rig.nodes.running("n1")
        assert rig.nodes.running("n2")

    run(4, work, quiet=False)  # according to the records, n1 is another process


class Echo(asyncio.DatagramProtocol):
    """Another program at a peer's address: it sends back each datagram, and an unrelated one."""

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.transport.sendto(data, addr)
        self.transport.sendto(b"HTTP/1.1 400 Bad Request\r\n\r\n", addr)


def test_configuration_when_addresses_are_wrong_then_only_those_peers_are_unreachable():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        host, port = rig.network.admin_address("n0")
        loop = asyncio.get_running_loop()
        echo, _ = await loop.create_datagram_endpoint(Echo, local_addr=("127.0.0.1", 0))
        with contextlib.closing(echo):
            rig.network.address_overrides["n0", "n1"] = (host, port + 2)
            rig.network.address_overrides["n0", "n2"] = echo.get_extra_info("sockname")
            rig.kill("n0")
            await rig.nodes.ended("n0")
            await rig.nodes.start("n0")

            def both_unreachable():
                view = rig.last_report("n0", rig.fabric.clock.now() - 2_000)
                return view is not None and {s for n, _, s, _ in view.members if n in ("n1", "n2")} <= {
                    "through", "silent", "suspect",
                }  # fmt: skip

            await rig.wait_until(lambda: rig.reachable_count("n0") >= 2 and both_unreachable())
            await rig.wait_for_counters(
                "n0", lambda counts: {"dropped_own", "dropped_foreign"} <= set(counts)
            )
            await rig.wait_until(lambda: rig.member_states("n0", "n3") == ["heard"])
            assert rig.nodes.running("n0")

    run(4, work, quiet=False)


def test_node_when_every_link_is_cut_then_reaches_only_itself_and_keeps_serving():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        rig.cut([0], [1, 2])
        await rig.wait_until(
            lambda: rig.reachable_count("n0") == 1 and rig.all_reachable(("n1", "n2"), count=2)
        )
        assert (await rig.request_admin("n0", "/admin/health"))["state"] == "serving"
        host, port = rig.fabric.address("listen", "n0")
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(b"mn\r\n")
        assert await reader.readline() == b"MN\r\n"
        writer.close()
        rig.heal()
        await rig.wait_until(rig.all_reachable)

    run(3, work)


def test_peers_command_when_nodes_end_then_shows_them_and_sets_its_exit_code():
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        address = "{}:{}".format(*rig.network.admin_address("n0"))
        command = [sys.executable, "-m", "flintridge.cli", "peers", "--console", address]

        async def call(*more):
            process = await asyncio.create_subprocess_exec(
                *command, *more, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
            )
            out, error = await process.communicate()
            return process.returncode, out.decode(), error.decode()

        code, out, _ = await call("--least", "1")
        assert code == 0
        assert "hears 3 of 3 nodes" in out
        assert "n1" in out
        assert "heard" in out
        code, out, _ = await call("--json")
        assert code == 0
        assert {one["name"] for one in json.loads(out)["lives"]} == {"n1", "n2"}
        rig.kill("n1"), rig.kill("n2")
        await rig.wait_until(lambda: rig.reachable_count("n0") == 1)
        code, out, _ = await call("--least", "0.5")
        assert code == 1
        assert "silent" in out
        rig.kill("n0")
        await rig.nodes.ended("n0")
        code, out, error = await call()
        assert code == 2
        assert "no console responds there" in error

    run(3, work)


@pytest.mark.parametrize("signals", [(signal.SIGTERM,), (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM)])
def test_signals_when_a_node_has_peers_then_end_it_in_order(signals):
    async def work(rig):
        await rig.wait_until(rig.all_reachable)
        for number in signals[:-1]:
            rig.nodes.process("n0").send_signal(number)
        rig.nodes.term("n0")
        await rig.wait_until(lambda: not rig.nodes.running("n0"))
        await rig.wait_until(lambda: rig.member_states("n1", "n0") == ["left"])
        assert rig.nodes.process("n0").popen.returncode == 0
        counters = rig.nodes.process("n0").output.counters
        assert counters["peers_datagrams_out"] > 0
        assert counters["peers_syncs_completed"] == 1
        assert (await rig.request_admin("n1"))["sealed"] is True

    run(3, work)
