"""Draws random cache servers, nodes, origins, discovery services and links."""

from random import Random
from typing import NamedTuple

from flintridge.lab.experiment.random_values import log_uniform, sometimes, span_around
from flintridge.lab.scenario import model


class Fleet(NamedTuple):
    """The kinds of servers, and the groups that give the number of servers by kind and zone."""

    kinds: tuple[model.Kind, ...]
    groups: tuple[model.Group, ...]


def draw_fleet(generator: Random, zones: tuple[str, ...]) -> Fleet:
    """Draw 3 to 40 servers of up to three kinds, in all zones if there are enough servers."""
    count = round(log_uniform(generator, 3, 40))
    names = ("box", "big", "old")[: generator.choices((1, 2, 3), (5, 3, 1))[0]]
    kinds = tuple(_kind(generator, name, count) for name in names)
    counts: dict[tuple[str, str], int] = {}
    for i in range(count):
        # The first servers are assigned to one zone each, so that every zone has a server if possible.
        zone = zones[i] if i < len(zones) else generator.choice(zones)
        group = (generator.choice(names), zone)
        counts[group] = counts.get(group, 0) + 1
    used = [kind for kind in kinds if any(group[0] == kind.name for group in counts)]
    groups = tuple(
        model.Group(kind=kind, count=number, zone=zone, weight=generator.choice((1.0, 1.0, 1.0, 2.0, 0.5)))
        for (kind, zone), number in sorted(counts.items())
    )
    return Fleet(kinds=tuple(used), groups=groups)


def _kind(generator: Random, name: str, servers: int) -> model.Kind:
    """Draw a kind of server; the servers of larger fleets have fewer cores."""
    return model.Kind(
        name=name,
        cores=generator.choice((1, 2, 4) if servers < 10 else (1, 2) if servers < 20 else (1,)),
        speed=span_around(generator, log_uniform(generator, 0.5, 2), 0.3),
        speed_cv=sometimes(generator, 0.5, 0.05, 0.4),
        slots_per_core=generator.choice((1, 1, 2, 4)),
        queue_per_core=span_around(generator, generator.uniform(1, 6), 0.2),
        crowd_at=round(generator.uniform(4, 14), 1),
        crowd=sometimes(generator, 0.7, 0.02, 0.12),
        cold_from=generator.choice((0.32, 0.4, 0.6, 1.0)),
        cold_s=round(generator.uniform(3, 9), 1),
        connections=generator.choice((96, 256, 1024)),
        handshake_ms=round(generator.uniform(0.2, 4), 2),
        idle_s=generator.choice((1.0, 2.0, 5.0, 10.0)),
        error_rate=sometimes(generator, 0.3, 0.001, 0.02),
        pause_every_s=sometimes(generator, 0.2, 3, 15),
        pause_ms=span_around(generator, generator.uniform(40, 300), 0.3),
        drops_cancelled=generator.choice(("queued", "all", "none")),
        miss_work=round(generator.uniform(0.03, 0.3), 3),
    )


def draw_nodes(generator: Random) -> model.Nodes:
    """Draw the number of nodes, their sockets and their start time."""
    return model.Nodes(
        count=generator.choices((1, 2, 3, 4, 5), (2, 4, 4, 2, 1))[0],
        sockets=generator.choice((256, 512, 1024)),
        start_ms=span_around(generator, generator.uniform(150, 800), 0.3),
    )


def draw_origin(generator: Random) -> model.Origin:
    """Draw the origin; its number of slots is later scaled to the load."""
    return model.Origin(
        read_ms=round(log_uniform(generator, 15, 150), 1),
        sigma=round(generator.uniform(0.1, 0.8), 2),
        write_times=round(generator.uniform(1, 2.5), 2),
        queue_s=round(generator.uniform(0.3, 2), 2),
        crowd=sometimes(generator, 0.4, 0.005, 0.05),
        shares_fetches=generator.random() < 0.3,
    )


def draw_discovery(generator: Random) -> model.Discovery:
    """Draw the delays and timeouts of the discovery service."""
    return model.Discovery(
        notice_s=span_around(generator, generator.uniform(0.3, 2.5), 0.5),
        silent_s=span_around(generator, generator.uniform(3, 10), 0.3),
        call_ms=span_around(generator, log_uniform(generator, 2, 80), 0.3),
        timeout_ms=generator.choice((1000.0, 3000.0)),
    )


def draw_links(generator: Random) -> model.Links:
    """Draw the latencies and jitter of all links, and the fraction of writes that are split."""
    return model.Links(
        same_ms=span_around(generator, log_uniform(generator, 0.05, 1), 0.4),
        cross_ms=span_around(generator, log_uniform(generator, 1, 25), 0.3),
        client_ms=span_around(generator, log_uniform(generator, 0.1, 5), 0.3),
        jitter=round(generator.uniform(0, 0.5), 2),
        cut=sometimes(generator, 0.4, 0.01, 0.2),
    )
