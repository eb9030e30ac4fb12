"""The values of the keys."""

import pytest
from support.lab_world import SCENARIO

from flintridge.lab.seeds import Seeds
from flintridge.lab.world.cache_store import CacheStore
from flintridge.lab.world.objects import Objects


def test_values_when_the_origin_responds_are_stored_by_the_servers_that_missed():
    objects = Objects(SCENARIO, Seeds(3))
    sizes = [objects.size(f"k{i}") for i in range(4000)]
    assert (
        sum(sizes) / 4000 == pytest.approx(800, rel=0.05)
        and Objects(SCENARIO, Seeds(3)).size("k7") == sizes[7]
    )
    assert objects.size("k7") != Objects(SCENARIO, Seeds(4)).size("k7")
    body = objects.body("k7", 1, "s1", "u1")
    assert body.startswith(b"k7|1|s1|u1|") and len(body) == sizes[7]
    assert body[-200:] != objects.body("k7", 1, "s1", "u2")[-200:]
    stores = {name: CacheStore(objects, 1.0, 0.0) for name in ("s1", "s2", "s3")}
    up_servers = {"s1"}
    for name, store in stores.items():
        objects.register(name, store, lambda name=name: name in up_servers)
        objects.record_miss("u1", name)
    objects.fill_misses("u1", "k7")
    objects.fill_misses("u1", "k8")  # the origin has already responded to this request
    assert [len(store) for store in stores.values()] == [1, 0, 0]
    for i in range(1000):
        stores["s1"].put(0, f"k{i}")
        stores["s2"].put(0, f"k{i}")
    objects.invalidate(0.8, "x")
    assert 130 < len(stores["s1"]) < 270 and stores["s1"]._copies.keys() == stores["s2"]._copies.keys()
