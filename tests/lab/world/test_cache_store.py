"""The memory of a cache server."""

from flintridge.lab.scenario import model as m
from flintridge.lab.seeds import Seeds
from flintridge.lab.world.cache_store import CacheStore
from flintridge.lab.world.objects import Objects


def test_the_store_when_full_evicts_and_when_invalid_removes_copies():
    objects = Objects(m.Scenario(keys=m.Keys(size_bytes=1000, size_sigma=0.0)), Seeds(1))
    store = CacheStore(objects, 0.003, 1.0)
    for key in "abc":
        store.put(0, key)
    assert store.get(0, "a") == 1
    store.put(0, "d")  # evicts b, the least recently used
    assert [store.get(1, key) for key in "abcd"] == [1, 0, 1, 1] and store.used_bytes == 3000
    objects.update("a")
    assert not store.has(1, "a") and store.get(1, "a") == 0 and store.used_bytes == 2000
    store.put(500, "a")
    assert [store.get(1200, key) for key in "acd"] == [2, 0, 0]
