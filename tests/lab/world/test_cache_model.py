"""The model of a cache server, at times that the tests pass in."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from support.lab_world import cache, ends, job, kind
from support.network import FIXED

from flintridge.lab.scenario import model as m


@FIXED
@given(
    st.lists(st.tuples(st.floats(0, 50), st.floats(0, 60), st.floats(1, 300)), max_size=25),
    st.integers(1, 3),
    st.integers(1, 3),
    st.booleans(),
    st.sampled_from([0.0, 0.05]),
)
def test_advance_when_called_more_often_changes_nothing(arrivals, cores, slots, cold, pauses):
    spec = kind(
        cores=cores, slots_per_core=slots, crowd=0.2, crowd_at=2, cold_s=0.2, pause_every_s=pauses, pause_ms=7
    )
    results = []
    for extra_steps in ((), (0.0, 0.3, 1.1)):
        model, now, jobs = cache(spec, cold), 0.0, []
        for gap, work, time_left in arrivals:
            for step in extra_steps:
                model.advance(now + gap * step / 2)
            now += gap
            jobs.append(job(work, now + time_left))
            model.offer(now, jobs[-1])
        ends(model, 1e7)
        assert model.in_flight == 0
        results.append([(one.outcome, one.state) for one in jobs])
    assert results[0] == results[1]
    assert all(outcome in ("miss", "busy") for outcome, _ in results[0])


@FIXED
@given(st.floats(0.05, 1), st.floats(0.01, 5), st.floats(0.1, 5000), st.floats(0, 6000))
def test_a_server_when_warming_up_does_the_work_under_its_warm_up_curve(cold_from, cold_s, work, begin):
    model = cache(kind(cold_from=cold_from, cold_s=cold_s), cold=True)
    model.offer(begin, job(work))
    [(at, _)] = ends(model)

    def work_done_by(t: float) -> float:
        cold = min(t, cold_s * 1000)
        return cold * (cold_from + (1 - cold_from) * cold / (cold_s * 2000)) + t - cold

    assert work_done_by(at) - work_done_by(begin) == pytest.approx(work, rel=1e-6)
    assert model.capacity(0) == pytest.approx(cold_from * model.warm_capacity)


def test_jobs_when_a_fault_is_set_share_the_cores_that_are_left_from_then_on():
    model = cache(kind(cores=2, slots_per_core=2, speed=2.0, queue_per_core=0))
    jobs = [job(40.0), job(40.0), job(40.0)]
    # 3 jobs on 2 cores of speed 2: 4/3 work-ms per ms each.
    assert [model.offer(0, one) for one in jobs] == [None] * 3
    model.advance(15)  # 20 work-ms of each job are done
    model.faults.slowdown = 10.0
    model.advance(90)  # 10 work-ms more of each
    model.faults.slowdown = 1.0
    model.faults.contention_fraction = 0.5  # one core left
    assert [at for at, _ in ends(model)] == pytest.approx([105] * 3)


def test_requests_when_all_slots_are_taken_wait_expire_or_are_rejected():
    model = cache(kind(queue_per_core=2))
    first, late, in_time = job(10), job(10, expires_at=5), job(10)
    assert [model.offer(0, one) for one in (first, late, in_time)] == [None] * 3
    full = job()
    assert model.offer(0, full) == "busy" and not full.executed
    assert [(at, one.outcome) for at, one in ends(model)] == [(10, "miss"), (10, "busy"), (20, "miss")]
    assert model.offer(30, job(expires_at=29)) == "busy"
    model.offer(30, job(5))
    model.draining = True
    assert model.offer(30, job()) == "busy"
    assert len(ends(model)) == 1  # the request in flight is completed


@pytest.mark.parametrize(("how", "done_at"), [("queued", [10, 20]), ("all", [10]), ("none", [10, 20, 30])])
def test_cancel_when_nobody_waits_stops_what_the_kind_drops(how, done_at):
    model = cache(kind(drops_cancelled=how))
    first, queued, last = job(10), job(10), job(10)
    for one in (first, queued, last):
        model.offer(0, one)
    assert model.cancel(1, queued) == (how != "none")
    assert model.advance(15) == [first]
    assert model.cancel(15, last) == (how == "all")
    assert [10.0] + [at for at, _ in ends(model)] == pytest.approx(done_at)


def test_hits_and_misses_when_background_work_runs_share_the_core_with_it():
    model = cache(kind(miss_work=0.1, error_rate=0.0))
    model.store.put(0, "a")
    hit, miss = job(20), job(20, key="b")
    model.offer(0, hit)
    model.add_background(0, 5)  # uses half the core until it completes
    model.offer(0, miss)
    assert hit.cost_ms == 20 and miss.cost_ms == 2
    assert [at for at, _ in ends(model)] == pytest.approx([25, 27])
    assert (hit.outcome, hit.executed, miss.outcome, miss.executed) == ("value", True, "miss", False)
    model.faults.error_fraction = 1.0
    assert model.offer(30, job()) == "error"


def test_overload_when_warming_up_counts_all_that_arrives_and_only_then():
    rules = m.Rules(overload_multiple=2.0, overload_window_ms=1000.0)
    # At 0.5 s the capacity is 0.525 of one core, so the limit is 1050 work-ms per window.
    spec = kind(cold_from=0.5, cold_s=10.0)
    model = cache(spec, True, rules)
    for at in range(0, 500, 100):
        model.offer(at, job(205))
    assert not model.overloaded  # 1025 work-ms, most of it rejected
    model.offer(500, job(30))
    assert model.overloaded
    slower = cache(spec, True, rules)
    for at in range(0, 5000, 210):
        slower.offer(at, job(205))
    assert not slower.overloaded
    warm = cache(spec, False, rules)
    warm.offer(0, job(1e6))
    assert not warm.overloaded


def test_a_request_when_the_server_pauses_waits_for_the_end_of_the_pause():
    model = cache(kind(pause_every_s=1.0, pause_ms=300.0))
    model.advance(pause := model._cores.pauses.starts_at)
    one = job(10)
    assert model.offer(pause + 1, one) is None
    assert [at for at, _ in ends(model)] == pytest.approx([pause + 310])


def test_the_load_report_when_refreshed_is_delayed_and_approximate():
    model = cache(kind(queue_per_core=9))
    assert set(model.report(0).values()) == {0.0}
    for _ in range(4):
        model.offer(10, job(1000))
    assert model.report(50)["inflight"] == 0  # still the figure of the last refresh
    model.advance(450)
    assert model.report(460)["inflight"] == pytest.approx(4, rel=0.3)
    assert model.report(460)["queue"] == pytest.approx(3, rel=0.3)
