"""Which connection makes place for another: the order, and what it costs to know."""

from hypothesis import given
from hypothesis import strategies as st
from support.network import FIXED

from flintridge.downstream.eviction import EvictionOrder


class Connection:
    def __init__(self, number: int) -> None:
        self.number, self.used_at, self.looks = number, 0, 0
        self.has_requested = self.closing = self.waits = self.half = False

    @property
    def has_pending(self) -> bool:
        self.looks += 1
        return self.waits

    @property
    def idle(self) -> bool:
        return not self.waits and not self.half


def as_reckoned(connections: list[Connection]) -> Connection | None:
    """The rule, looked for among all."""
    free = [c for c in connections if c.closing or (not c.waits and (c.idle or not c.has_requested))]
    return min(free, key=lambda c: (not c.closing, not c.has_requested, c.used_at), default=None)


DEEDS = st.tuples(
    st.sampled_from(["come", "use", "ask", "wait", "half", "close", "leave", "make"]), st.integers(0, 9)
)


@FIXED
@given(st.lists(DEEDS, max_size=40))
def test_the_order_is_that_of_the_rule_whatever_happens(deeds):
    order, there, now = EvictionOrder(), [], 0
    for now, (deed, which) in enumerate(deeds, 1):
        if deed == "come":
            there.append(one := Connection(now))
            one.used_at = now
            order.touch(one)
        elif deed == "make":
            if (first := order.first_evictable()) is not None:
                there.remove(first)
                order.remove(first)
        elif there:
            one = there[which % len(there)]
            if deed == "leave":
                there.remove(one)
                order.remove(one)
                continue
            if deed == "wait":
                one.waits = not one.waits
                continue  # it is neither read nor written by that
            if deed == "half":
                one.half = True
            one.has_requested |= deed == "ask"
            if not one.closing:
                one.used_at = now
            one.closing |= deed == "close"
            order.touch(one)
        assert order.first_evictable() is as_reckoned(there)


def test_a_newcomer_looks_at_few_however_many_there_are():
    """Guards a node in a crowd: the walk over all took half of its time, and requests lay there meanwhile."""
    order = EvictionOrder()
    there = [Connection(number) for number in range(5_000)]
    for number, one in enumerate(there):
        one.has_requested = number % 2 == 0
        order.touch(one)
    for _ in range(2_000):
        order.remove(order.first_evictable())
    assert sum(one.looks for one in there) <= 2 * 2_000
