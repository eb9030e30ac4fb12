"""The plan of a fleet."""

from support.lab_fleet import SCENARIO

from flintridge.lab.seeds import Seeds
from flintridge.lab.world.fleet_plan import ServerIds, plan_servers


def test_servers_when_drawn_with_one_seed_are_the_same_and_their_ids_are_unordered():
    plans = plan_servers(SCENARIO, Seeds(1), ServerIds(Seeds(1).of("ids")))
    assert plans == plan_servers(SCENARIO, Seeds(1), ServerIds(Seeds(1).of("ids")))
    assert [plan.zone for plan in plans] == ["east", "west", "east", "west", "west", "west"]
    ids = [plan.id for plan in plans]
    assert ids != sorted(ids) and len({plan.weight for plan in plans[:3]}) == 3
    assert ids != [plan.id for plan in plan_servers(SCENARIO, Seeds(2), ServerIds(Seeds(2).of("ids")))]
