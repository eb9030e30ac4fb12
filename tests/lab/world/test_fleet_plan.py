"""What a fleet consists of."""

from support.lab_fleet import SCENARIO

from flintridge.lab.seeds import Seeds
from flintridge.lab.world.fleet_plan import ServerIds, plan_servers


def test_servers_when_drawn_by_a_seed_are_the_same_and_their_ids_tell_nothing():
    made = plan_servers(SCENARIO, Seeds(1), ServerIds(Seeds(1).of("ids")))
    assert made == plan_servers(SCENARIO, Seeds(1), ServerIds(Seeds(1).of("ids")))
    assert [plan.zone for plan in made] == ["east", "west", "east", "west", "west", "west"]
    ids = [plan.id for plan in made]
    assert ids != sorted(ids) and len({plan.weight for plan in made[:3]}) == 3
    assert ids != [plan.id for plan in plan_servers(SCENARIO, Seeds(2), ServerIds(Seeds(2).of("ids")))]
