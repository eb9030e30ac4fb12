"""Endpoint lists for the tests of the lab's discovery."""

from flintridge.lab.world.endpoint_list import Endpoint, EndpointList, Phase


def endpoint(name="a", phase=Phase.IN_SERVICE, started_at=0.0) -> Endpoint:
    return Endpoint(name, name, phase=phase, started_at=started_at)


def endpoint_list(notice=100.0, silent=500.0, *names) -> EndpointList:
    """An endpoint list whose servers have been listed for a long time."""
    made = EndpointList(10, lambda: notice, lambda: silent)
    for name in names:
        made.add(-1e6, endpoint(name))
    return made
