"""Replicas in all interleavings of a few processes, with planted defects, and in random runs of five."""

import pytest

from flintridge.lab.defects.replicas import REPLICATION_DEFECTS, EmptyReplicaWins
from flintridge.lab.explore import explore
from flintridge.lab.explore.replicas import RemainingSteps, ReplicationState
from flintridge.lab.partial.replica_run import random_run

NO_EVENTS = {"writes": 0, "deletions": 0, "requests": 0}


@pytest.mark.parametrize(
    ("process_count", "events", "written", "minimum_states"),
    [
        (3, {"writes": 2, "deletions": 1}, False, 500),
        (3, {"deletions": 1, "requests": 1, "ticks": 2}, True, 300),
        (2, {"writes": 2, "deletions": 1, "requests": 1}, False, 900),
        (2, {"writes": 1, "requests": 2, "restarts": 1, "losses": 1}, False, 300),
        (2, {"writes": 1, "deletions": 1, "summaries": 1, "ticks": 2}, False, 300),
    ],
)
def test_replicas_in_every_interleaving_become_equal_and_nothing_is_lost_or_returns(
    process_count, events, written, minimum_states
):
    """The longer searches are in benchmarks/copies_search.py."""
    found = explore(
        ReplicationState.begin(process_count, RemainingSteps(**NO_EVENTS | events), has_initial_entry=written)
    )
    assert found.is_complete, (found.violation, found.path)
    assert not found.violation, (found.violation, found.path)
    assert found.states > minimum_states


# Events that a defect needs to show its effect, if two writes, a deletion and a comparison are not enough.
EVENTS_OF_DEFECTS = {
    "TombstoneExpiredEarly": (2, False, {"writes": 1, "deletions": 1, "duplicates": 1, "ticks": 2}),
    "DuplicateChunkMovesCursor": (2, True, {"requests": 1, "duplicates": 1, "restarts": 1}),
    "DotReused": (2, False, {"writes": 2, "requests": 2, "restarts": 1}),
    "DeletedVersionAccepted": (2, True, {"deletions": 1, "ticks": 2}),
    "DeletedVersionsRetained": (2, True, {"deletions": 1, "ticks": 2, "requests": 2}),
    "CompleteAfterFirstChunk": (2, True, {"requests": 2, "restarts": 1}),
    "SynchronizedByAnySource": (2, True, {"requests": 2, "restarts": 2}),
    "SynchronizedAfterFirstChunk": (2, True, {"requests": 1, "restarts": 1}),
}
DEFAULT_EVENTS = (2, False, {"writes": 2, "deletions": 1, "requests": 1})


@pytest.mark.parametrize("defect", REPLICATION_DEFECTS, ids=lambda defect: defect.__name__)
def test_exploration_when_a_defect_is_planted_finds_it_and_the_path_to_it(defect):
    process_count, written, events = EVENTS_OF_DEFECTS.get(defect.__name__, DEFAULT_EVENTS)
    found = explore(
        ReplicationState.begin(process_count, RemainingSteps(**NO_EVENTS | events), defect, written)
    )
    assert defect.__doc__
    assert found.violation, (defect.__doc__, found.states)
    assert found.path, (defect.__doc__, found.states)


@pytest.mark.parametrize("seed", range(2))
def test_random_run_of_five_nodes_loses_nothing_that_two_had_and_nothing_deleted_returns(seed):
    """benchmarks/replica_days.py does more runs."""
    run = random_run(seed, length_ms=30_000.0)
    assert run.acknowledged_count > 30
    assert run.kill_count
    assert run.partition_count
    assert not run.violations


def test_judge_of_random_runs_when_an_empty_replica_empties_others_reports_a_loss():
    run = random_run(0, length_ms=30_000.0, build=EmptyReplicaWins)
    assert "is lost" in run.violations[0]
