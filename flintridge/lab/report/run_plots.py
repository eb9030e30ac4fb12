"""Draws the plots of a run over time."""

import math
from collections.abc import Callable, Sequence
from typing import Any

import numpy as np
from matplotlib.ticker import FuncFormatter, MaxNLocator

from flintridge.lab.report.svg_figures import (
    BLUE,
    GREEN,
    GREY,
    LINE_COLOURS,
    ORANGE,
    PURPLE,
    RED,
    Plot,
    add_legend,
    new_figure,
    svg_element,
)
from flintridge.lab.result import Result, Window

MAX_POINTS = 600  # the limit for a line over time; longer runs are plotted with wider windows
MAX_LINES = 12  # more servers cannot be distinguished as lines and are shown as a heat map


def run_plots(result: Result) -> list[Plot]:
    """Return the plots of a run over time, with faults as shaded bands; no plots without windows."""
    windows = merge_windows(result.windows)
    if not windows:
        return []
    plots = [
        _time_plot(
            "Goodput and offered load",
            "Achieved over offered weight, and first attempts per second; shaded bands are faults.",
            result,
            windows,
            _goodput,
        ),
        _time_plot(
            "Latency",
            "From the intended send time to the last byte of the response, by intended send time; log scale.",
            result,
            windows,
            _latency,
        ),
        _time_plot(
            "Responses by outcome", "First attempts per second, by outcome.", result, windows, _responses
        ),
        _time_plot(
            "Attempts per request", "At all servers, and at the origin alone.", result, windows, _attempts
        ),
    ]
    if any(window.in_flight for window in windows):
        draw = _in_flight_lines
        about = "Mean number of requests in flight in each second, one line per server."
        if len(server_ids(windows)) > MAX_LINES:
            draw = _in_flight_map
            about = "Mean number of requests in flight in each second, one row per server."
        plots.append(_time_plot("In flight by server", about, result, windows, draw))
    return plots


def merge_windows(windows: Sequence[Window], maximum: int = MAX_POINTS) -> list[Window]:
    """Merge adjacent windows into at most `maximum` windows; a count becomes the mean count per window."""
    size = math.ceil(len(windows) / maximum) if windows else 1
    if size == 1:
        return list(windows)
    return [_mean_window(windows[start : start + size]) for start in range(0, len(windows), size)]


def _mean_window(group: Sequence[Window]) -> Window:
    """Return the mean of each metric, but the worst of each percentile, which cannot be averaged."""
    count = len(group)
    plain: dict[str, Any] = {"t_s": group[0].t_s}
    counts = ("requests", "served", "within_objective", "rejected", "failed", "attempts", "origin_attempts")
    for name in counts:
        plain[name] = round(sum(getattr(window, name) for window in group) / count)
    for name in ("offered_weight", "achieved_weight"):
        plain[name] = sum(getattr(window, name) for window in group) / count
    plain["p50"] = max(window.p50 for window in group)
    plain["p99"] = max(window.p99 for window in group)
    in_flight = {server: 0.0 for window in group for server in window.in_flight}
    for window in group:
        for server, depth in window.in_flight.items():
            in_flight[server] += depth / count
    return Window(**plain, in_flight=in_flight)


def server_ids(windows: Sequence[Window]) -> list[str]:
    """Return the ids of all servers that had a request in flight at any time."""
    return sorted({server for window in windows for server in window.in_flight})


def _time_plot(
    title: str,
    about: str,
    result: Result,
    windows: Sequence[Window],
    draw: Callable[[Any, Sequence[Window]], None],
) -> Plot:
    """Create a plot over the time of a run, with faults as shaded bands unless it is a heat map."""
    height = 2.9 if draw is _in_flight_map else 2.4
    with new_figure(height) as (figure, axes):
        end = windows[-1].t_s + _window_length_s(windows)
        axes.set_xlim(windows[0].t_s, end)
        draw(axes, windows)
        if draw is not _in_flight_map:
            _draw_fault_bands(axes, result.faults, windows[0].t_s, end)
        axes.set_xlabel("seconds of the run")
        return Plot(title, about, svg_element(figure, title))


def _window_length_s(windows: Sequence[Window]) -> float:
    """Return the length of a window in seconds."""
    return windows[1].t_s - windows[0].t_s if len(windows) > 1 else 1.0


def _draw_fault_bands(
    axes: Any, faults: Sequence[tuple[str, float, float]], start: float, end: float
) -> None:
    """Plot faults as bands behind the lines, with their names in rows at the top to avoid overlaps."""
    if not faults:
        return
    _add_headroom(axes)
    row_ends: list[float] = []  # the time up to which each row is occupied
    for name, begins, ends in sorted(faults, key=lambda fault: fault[1:]):
        begins = max(begins, start)
        ends = min(max(ends, begins + (end - start) / 300), end)
        if begins >= end:
            continue
        axes.axvspan(begins, ends, color=ORANGE, alpha=0.13, linewidth=0, zorder=0)
        name = name if len(name) <= 28 else f"{name[:26]}.."
        name_ends = begins + len(name) * (end - start) / 130
        row = next((i for i, row_end in enumerate(row_ends) if row_end <= begins), len(row_ends))
        row_ends[row : row + 1] = [name_ends]
        axes.annotate(
            name,
            (begins, 1),
            xycoords=("data", "axes fraction"),
            xytext=(2, -9 - 9 * (row % 4)),
            textcoords="offset points",
            fontsize=7,
            color="#8a5a1c",
        )


def _add_headroom(axes: Any) -> None:
    """Extend the y axis to leave room above the lines for the names of faults."""
    low, high = axes.get_ylim()
    top = high * (high / low) ** 0.18 if axes.get_yscale() == "log" else high + 0.18 * (high - low)
    axes.set_ylim(low, top)


def _draw_line(axes: Any, windows: Sequence[Window], values: Sequence[float], **style: Any) -> None:
    """Plot one step for each window; windows with the value NaN have none."""
    times = [window.t_s for window in windows] + [windows[-1].t_s + _window_length_s(windows)]
    axes.stairs(values, times, baseline=None, linewidth=1.6, **style)


def _fraction(count: float, total: float) -> float:
    """Return `count` / `total`, or NaN if `total` is 0."""
    return count / total if total else float("nan")


def _goodput(axes: Any, windows: Sequence[Window]) -> None:
    """Plot goodput, and the offered load on a second axis."""
    _draw_line(
        axes,
        windows,
        [_fraction(w.achieved_weight, w.offered_weight) for w in windows],
        color=BLUE,
        label="goodput",
    )
    axes.set_ylim(0, 1.05)
    axes.set_yticks([0, 0.2, 0.4, 0.6, 0.8, 1])
    axes.set_ylabel("goodput")
    load = axes.twinx()
    # Matplotlib draws the second axes over the first by default; the load belongs behind the goodput.
    axes.set_zorder(load.get_zorder() + 1)
    axes.patch.set_visible(False)
    step = _window_length_s(windows)
    _draw_line(
        load,
        windows,
        [w.requests / min(step, 1.0) for w in windows],
        color=GREY,
        alpha=0.8,
        label="offered load",
    )
    load.set_ylim(0, 1.25 * max(w.requests for w in windows) or 1)
    load.set_ylabel("requests / s")
    load.grid(False)
    add_legend(axes, load)


def _latency(axes: Any, windows: Sequence[Window]) -> None:
    """Plot p50 and p99 on a log scale."""
    for name, colour in (("p50", BLUE), ("p99", RED)):
        values = [getattr(window, name) or float("nan") for window in windows]
        _draw_line(axes, windows, values, color=colour, label=name)
    axes.set_yscale("log")
    axes.yaxis.set_major_formatter(FuncFormatter(lambda value, _: f"{value:g}"))
    axes.set_ylabel("ms")
    add_legend(axes)


def _responses(axes: Any, windows: Sequence[Window]) -> None:
    """Plot the requests of each window as a stack by outcome."""
    late = [window.served - window.within_objective for window in windows]
    unanswered = [max(0, w.requests - w.served - w.rejected - w.failed) for w in windows]
    stacks = (
        ("within objective", [w.within_objective for w in windows], GREEN),
        ("late", late, "#e2b93b"),
        ("refused", [w.rejected for w in windows], ORANGE),
        ("failed", [w.failed for w in windows], RED),
        ("none", unanswered, GREY),
    )
    times = [w.t_s for w in windows] + [windows[-1].t_s + _window_length_s(windows)]
    below = np.zeros(len(windows))
    for name, values, colour in stacks:
        if not any(values) and name == "none":
            continue
        above = below + np.asarray(values, dtype=float)
        axes.stairs(
            above, times, baseline=below, fill=True, color=colour, alpha=0.75, label=name, linewidth=0
        )
        below = above
    axes.set_ylim(0, max(1.0, float(below.max()) * 1.08))
    axes.set_ylabel("requests / s")
    add_legend(axes, columns=5)


def _attempts(axes: Any, windows: Sequence[Window]) -> None:
    """Plot attempts per request, at all servers and at the origin."""
    all_attempts = [_fraction(w.attempts, w.requests) for w in windows]
    _draw_line(axes, windows, all_attempts, color=BLUE, label="all attempts")
    _draw_line(
        axes,
        windows,
        [_fraction(w.origin_attempts, w.requests) for w in windows],
        color=PURPLE,
        label="origin",
    )
    axes.set_ylim(bottom=0)
    axes.set_ylabel("per request")
    add_legend(axes)


def _in_flight_lines(axes: Any, windows: Sequence[Window]) -> None:
    """Plot the requests in flight, one line per server."""
    for server, colour in zip(server_ids(windows), LINE_COLOURS, strict=False):
        in_flight = [window.in_flight.get(server, float("nan")) for window in windows]
        _draw_line(axes, windows, in_flight, color=colour, label=server, alpha=0.85)
    axes.set_ylim(bottom=0)
    axes.set_ylabel("requests")
    add_legend(axes, columns=6)


def _in_flight_map(axes: Any, windows: Sequence[Window]) -> None:
    """Plot the requests in flight as a heat map, one row per server."""
    servers = server_ids(windows)
    in_flight = np.array([[window.in_flight.get(server, np.nan) for window in windows] for server in servers])
    end = windows[-1].t_s + _window_length_s(windows)
    top = max(1.0, float(np.nanpercentile(in_flight, 99.5)) if np.isfinite(in_flight).any() else 1.0)
    image = axes.imshow(
        in_flight,
        aspect="auto",
        interpolation="nearest",
        extent=(windows[0].t_s, end, len(servers), 0),
        cmap="viridis",
        vmin=0,
        vmax=top,
    )
    axes.grid(False)
    axes.yaxis.set_major_locator(MaxNLocator(8, integer=True))
    axes.set_ylabel(f"{len(servers)} servers, by id")
    axes.figure.colorbar(image, ax=axes, label="requests", pad=0.01)
