"""Plots as inline SVG. Matplotlib is imported here and nowhere else: only a report pays for it."""

import io
import re
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from typing import Any

import matplotlib
import msgspec
import numpy as np
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure
from matplotlib.ticker import FuncFormatter, MaxNLocator

from flintridge.lab.experiment.compare import Comparison
from flintridge.lab.experiment.sweep import Sweep
from flintridge.lab.result import Result, Window

MOST_POINTS = 600  # of a line over time: longer days are drawn in wider windows
MOST_LINES = 12  # servers that can be told apart as lines; more of them become a heat map
INK, GRID = "#30363d", "#d7dce1"
BLUE, ORANGE, GREEN, RED, PURPLE, GREY = "#2c6fbb", "#d9822b", "#3a9a5b", "#c63d3d", "#7a55a8", "#8a939c"
LINES = (
    BLUE,
    ORANGE,
    GREEN,
    RED,
    PURPLE,
    "#21908c",
    "#b8860b",
    "#d16ba5",
    "#5d6d7e",
    "#8b5a2b",
    "#6b8e23",
    "#444444",
)
STYLE: Any = {
    "svg.fonttype": "none",  # text stays text: it can be searched, and read by those who cannot see it
    "font.family": "sans-serif",
    "font.sans-serif": ["Segoe UI", "Helvetica Neue", "Arial", "DejaVu Sans"],
    "font.size": 9.5,
    "text.parse_math": False,  # names come from files: a dollar sign in one is no formula
    "axes.edgecolor": GRID,
    "axes.labelcolor": INK,
    "axes.grid": True,
    "axes.axisbelow": True,
    "axes.spines.top": False,
    "axes.spines.right": False,
    "grid.color": GRID,
    "grid.linewidth": 0.6,
    "xtick.color": INK,
    "ytick.color": INK,
    "text.color": INK,
    "lines.linewidth": 1.5,
    "legend.frameon": False,
    "legend.fontsize": 9,
}


class Plot(msgspec.Struct, frozen=True):
    """A heading, what to see in it, and the picture as SVG."""

    title: str
    about: str
    svg: str


def run_plots(result: Result) -> list[Plot]:
    """Over the time of the day, with the faults as bands; none where there are no windows."""
    windows = merged(result.windows)
    if not windows:
        return []
    drawn = [
        _over_time(
            "Goodput and offered load",
            "Worth got over worth asked, and first tries a second; bands are faults.",
            result,
            windows,
            _goodput,
        ),
        _over_time(
            "Latency",
            "From the intended sending to the last byte of the answer, by when it was due; log scale.",
            result,
            windows,
            _latency,
        ),
        _over_time("Answers by kind", "First tries a second, by how they ended.", result, windows, _answers),
        _over_time(
            "Attempts a request", "At all servers, and at the origin alone.", result, windows, _attempts
        ),
    ]
    if any(window.in_flight for window in windows):
        many = len(servers_of(windows)) > MOST_LINES
        draw = _in_flight_map if many else _in_flight_lines
        about = "Requests held, mean over each second" + (
            ", a row a server." if many else ", a line a server."
        )
        drawn.append(_over_time("In flight by server", about, result, windows, draw))
    return drawn


def merged(windows: Sequence[Window], most: int = MOST_POINTS) -> list[Window]:
    """Neighbouring windows made one until there are few enough; counts become means a window."""
    size = -(-len(windows) // most) if windows else 1
    if size == 1:
        return list(windows)
    return [_mean_window(windows[at : at + size]) for at in range(0, len(windows), size)]


def _mean_window(group: Sequence[Window]) -> Window:
    """The mean of each figure; of percentiles the worst, as they cannot be averaged."""
    count = len(group)
    plain: dict[str, Any] = {"t_s": group[0].t_s}
    counts = ("requests", "served", "within_objective", "rejected", "failed", "attempts", "origin_attempts")
    for name in counts:
        plain[name] = round(sum(getattr(window, name) for window in group) / count)
    for name in ("offered_weight", "achieved_weight"):
        plain[name] = sum(getattr(window, name) for window in group) / count
    plain["p50"], plain["p99"] = max(w.p50 for w in group), max(w.p99 for w in group)
    held = {server: 0.0 for window in group for server in window.in_flight}
    for window in group:
        for server, depth in window.in_flight.items():
            held[server] += depth / count
    return Window(**plain, in_flight=held)


def servers_of(windows: Sequence[Window]) -> list[str]:
    """All servers that ever held something, by id."""
    return sorted({server for window in windows for server in window.in_flight})


# Drawing


@contextmanager
def _figure(rows: float = 2.4, columns: int = 1, width: float = 9.6) -> Iterator[tuple[Figure, Any]]:
    """A figure and its axes in the report's style, without the state of pyplot."""
    with matplotlib.rc_context(STYLE):
        figure = Figure(figsize=(width, rows), layout="constrained")
        FigureCanvasSVG(figure)
        yield figure, figure.subplots(1, columns)


def _svg(figure: Figure, name: str) -> str:
    """As an element for HTML: without prolog, scaled by the page, and with ids that no other plot has."""
    # The salt makes ids depend on the plot alone: the same result gives the same file.
    with matplotlib.rc_context({**STYLE, "svg.hashsalt": name}):
        text = io.StringIO()
        figure.savefig(text, format="svg", transparent=True, metadata={"Date": None, "Creator": None})
    svg = text.getvalue()
    svg = svg[svg.index("<svg") :]
    svg = re.sub(r"<metadata>.*?</metadata>", "", svg, count=1, flags=re.DOTALL)
    prefix = re.sub(r"\W+", "-", name).strip("-").lower()
    svg = re.sub(r'\bid="([^"]+)"', rf'id="{prefix}-\1"', svg)
    svg = re.sub(r'(xlink:href="#|url\(#)', rf"\1{prefix}-", svg)
    return re.sub(r'<svg ([^>]*?)width="[^"]*" ([^>]*?)height="[^"]*"', r"<svg \1\2", svg, count=1)


def _over_time(
    title: str,
    about: str,
    result: Result,
    windows: Sequence[Window],
    draw: Callable[[Any, Sequence[Window]], None],
) -> Plot:
    tall = 2.9 if draw is _in_flight_map else 2.4
    with _figure(tall) as (figure, axes):
        end = windows[-1].t_s + _step(windows)
        axes.set_xlim(windows[0].t_s, end)
        draw(axes, windows)
        if draw is not _in_flight_map:
            _bands(axes, result.faults, windows[0].t_s, end)
        axes.set_xlabel("seconds of the day")
        return Plot(title, about, _svg(figure, title))


def _step(windows: Sequence[Window]) -> float:
    return windows[1].t_s - windows[0].t_s if len(windows) > 1 else 1.0


def _bands(axes: Any, faults: Sequence[tuple[str, float, float]], start: float, end: float) -> None:
    """Faults behind the lines, names in rows at the top so that overlapping ones can be read."""
    if not faults:
        return
    _headroom(axes)
    rows: list[float] = []  # up to where each row is taken
    for name, begins, ends in sorted(faults, key=lambda fault: fault[1:]):
        begins, ends = max(begins, start), min(max(ends, begins + (end - start) / 300), end)
        if begins >= end:
            continue
        axes.axvspan(begins, ends, color=ORANGE, alpha=0.13, linewidth=0, zorder=0)
        name = name if len(name) <= 28 else f"{name[:26]}.."
        wide = begins + len(name) * (end - start) / 130
        row = next((i for i, taken in enumerate(rows) if taken <= begins), len(rows))
        rows[row : row + 1] = [wide]
        axes.annotate(
            name,
            (begins, 1),
            xycoords=("data", "axes fraction"),
            xytext=(2, -9 - 9 * (row % 4)),
            textcoords="offset points",
            fontsize=7,
            color="#8a5a1c",
        )


def _headroom(axes: Any) -> None:
    """Room above the lines for the names of faults."""
    low, high = axes.get_ylim()
    top = high * (high / low) ** 0.18 if axes.get_yscale() == "log" else high + 0.18 * (high - low)
    axes.set_ylim(low, top)


def _line(axes: Any, windows: Sequence[Window], values: Sequence[float], **look: Any) -> None:
    """Steps, a window each; no value where it is NaN."""
    times = [window.t_s for window in windows] + [windows[-1].t_s + _step(windows)]
    axes.stairs(values, times, baseline=None, linewidth=1.6, **look)


def _legend(axes: Any, *others: Any, columns: int = 4) -> None:
    handles, labels = axes.get_legend_handles_labels()
    for other in others:
        more, named = other.get_legend_handles_labels()
        handles, labels = handles + more, labels + named
    axes.legend(handles, labels, loc="lower left", bbox_to_anchor=(0, 1), ncols=columns, borderaxespad=0.2)


def _share(part: float, whole: float) -> float:
    return part / whole if whole else float("nan")


def _goodput(axes: Any, windows: Sequence[Window]) -> None:
    _line(
        axes,
        windows,
        [_share(w.achieved_weight, w.offered_weight) for w in windows],
        color=BLUE,
        label="goodput",
    )
    axes.set_ylim(0, 1.05)
    axes.set_yticks([0, 0.2, 0.4, 0.6, 0.8, 1])
    axes.set_ylabel("goodput")
    load = axes.twinx()
    # Behind the goodput: the second axis is drawn over the first one unless told otherwise.
    axes.set_zorder(load.get_zorder() + 1)
    axes.patch.set_visible(False)
    step = _step(windows)
    _line(
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
    _legend(axes, load)


def _latency(axes: Any, windows: Sequence[Window]) -> None:
    for name, colour in (("p50", BLUE), ("p99", RED)):
        values = [getattr(window, name) or float("nan") for window in windows]
        _line(axes, windows, values, color=colour, label=name)
    axes.set_yscale("log")
    axes.yaxis.set_major_formatter(FuncFormatter(lambda value, _: f"{value:g}"))
    axes.set_ylabel("ms")
    _legend(axes)


def _answers(axes: Any, windows: Sequence[Window]) -> None:
    late = [window.served - window.within_objective for window in windows]
    other = [max(0, w.requests - w.served - w.rejected - w.failed) for w in windows]
    stacks = (
        ("in aim", [w.within_objective for w in windows], GREEN),
        ("late", late, "#e2b93b"),
        ("refused", [w.rejected for w in windows], ORANGE),
        ("failed", [w.failed for w in windows], RED),
        ("none", other, GREY),
    )
    times = [w.t_s for w in windows] + [windows[-1].t_s + _step(windows)]
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
    _legend(axes, columns=5)


def _attempts(axes: Any, windows: Sequence[Window]) -> None:
    every = [_share(w.attempts, w.requests) for w in windows]
    _line(axes, windows, every, color=BLUE, label="all attempts")
    _line(
        axes, windows, [_share(w.origin_attempts, w.requests) for w in windows], color=PURPLE, label="origin"
    )
    axes.set_ylim(bottom=0)
    axes.set_ylabel("a request")
    _legend(axes)


def _in_flight_lines(axes: Any, windows: Sequence[Window]) -> None:
    for server, colour in zip(servers_of(windows), LINES, strict=False):
        held = [window.in_flight.get(server, float("nan")) for window in windows]
        _line(axes, windows, held, color=colour, label=server, alpha=0.85)
    axes.set_ylim(bottom=0)
    axes.set_ylabel("requests")
    _legend(axes, columns=6)


def _in_flight_map(axes: Any, windows: Sequence[Window]) -> None:
    servers = servers_of(windows)
    held = np.array([[window.in_flight.get(server, np.nan) for window in windows] for server in servers])
    end = windows[-1].t_s + _step(windows)
    top = max(1.0, float(np.nanpercentile(held, 99.5)) if np.isfinite(held).any() else 1.0)
    image = axes.imshow(
        held,
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


# Experiments


def compare_plots(comparison: Comparison) -> list[Plot]:
    """Each figure's difference with its interval, and the pairs by seed."""
    if not comparison.pairs:
        return []
    return [_forest(comparison), *_pairs(comparison)]


def _forest(comparison: Comparison) -> Plot:
    """Differences as shares of A's mean: figures of all units on one axis."""
    figures = [f for f in comparison.metrics if f.a]
    colours = {"better": GREEN, "worse": RED, "even": GREY, "unsure": GREY}
    with _figure(0.7 + 0.34 * len(figures)) as (figure, axes):
        for row, one in enumerate(figures):
            scale = 100 / abs(one.a)
            colour = colours[one.verdict]
            axes.plot([one.low * scale, one.high * scale], [row, row], color=colour, linewidth=3, alpha=0.6)
            axes.plot([one.mean * scale], [row], "o", color=colour, markersize=6)
        axes.axvline(0, color=INK, linewidth=0.8)
        axes.set_yticks(range(len(figures)), [one.name for one in figures])
        axes.invert_yaxis()
        axes.set_xlabel("B - A, in % of A's mean")
        title = "Differences"
        about = "Mean of the paired differences and its 95% interval; grey where it holds 0 or pairs are few."
        return Plot(title, about, _svg(figure, title))


def _pairs(comparison: Comparison) -> list[Plot]:
    seeds = [pair.seed for pair in comparison.pairs]
    with _figure(2.4, columns=2) as (figure, both):
        for axes, name, unit in zip(both, ("goodput", "p99"), ("goodput", "p99, ms"), strict=True):
            for seed_at, pair in enumerate(comparison.pairs):
                axes.plot([seed_at, seed_at], [pair.a[name], pair.b[name]], color=GRID, linewidth=2, zorder=1)
            axes.plot([pair.a[name] for pair in comparison.pairs], "o", color=BLUE, label="A", markersize=5)
            axes.plot([pair.b[name] for pair in comparison.pairs], "o", color=ORANGE, label="B", markersize=5)
            axes.xaxis.set_major_locator(MaxNLocator(8, integer=True))
            axes.xaxis.set_major_formatter(
                FuncFormatter(lambda at, _: str(seeds[int(at)]) if 0 <= at < len(seeds) else "")
            )
            axes.set_xlabel("seed")
            axes.set_ylabel(unit)
            _legend(axes)
        title = "Seed by seed"
        return [Plot(title, "The same requests and faults on both sides.", _svg(figure, title))]


def sweep_plots(swept: Sweep) -> list[Plot]:
    """Over the one parameter, or a map of two."""
    if not any(point.metrics for point in swept.points):
        return []
    if len(swept.parameters) == 2:
        return [_sweep_map(swept, name) for name in ("goodput", "p99", "attempts_per_request")]
    shown = (("goodput", ""), ("p99", "ms"), ("attempts_per_request", ""), ("origin_per_request", ""))
    return [_sweep_line(swept, name, unit) for name, unit in shown]


def _numbers(values: Sequence[str]) -> list[float] | None:
    try:
        return [float(value) for value in values]
    except ValueError:
        return None


def _sweep_line(swept: Sweep, name: str, unit: str) -> Plot:
    values = [point.values[0] for point in swept.points]
    numbers = _numbers(values)
    at = numbers if numbers is not None else [float(i) for i in range(len(values))]
    spreads = [point.metrics.get(name) for point in swept.points]
    nothing = float("nan")
    with _figure(2.6) as (figure, axes):
        low = [nothing if s is None else s.low for s in spreads]
        high = [nothing if s is None else s.high for s in spreads]
        axes.fill_between(at, low, high, color=BLUE, alpha=0.18, linewidth=0)
        axes.plot(at, [nothing if s is None else s.mean for s in spreads], "o-", color=BLUE, markersize=4)
        broken = [(x, s) for x, s, p in zip(at, spreads, swept.points, strict=True) if p.violations and s]
        if broken:
            xs, ys = [x for x, _ in broken], [s.mean for _, s in broken]
            axes.plot(xs, ys, "x", color=RED, markersize=9, markeredgewidth=2, label="a rule broken")
            _legend(axes)
        if numbers is None:
            axes.set_xticks(at, values)
        axes.set_xlabel(swept.parameters[0].path)
        axes.set_ylabel(f"{name}, {unit}" if unit else name)
        about = f"Mean over {len(swept.seeds)} seeds; the band is a bootstrap 95% interval."
        return Plot(name, about, _svg(figure, f"sweep {name}"))


def _sweep_map(swept: Sweep, name: str) -> Plot:
    rows, columns = (parameter.values for parameter in swept.parameters)
    found = [p.metrics[name].mean if name in p.metrics else float("nan") for p in swept.points]
    grid = np.array(found).reshape(len(rows), len(columns))
    with _figure(min(6.0, 1.3 + 0.34 * len(rows))) as (figure, axes):
        image = axes.imshow(grid, aspect="auto", cmap="viridis", interpolation="nearest")
        figure.colorbar(image, ax=axes, label=name, pad=0.01)
        axes.grid(False)
        every = max(1, len(columns) // 16)
        axes.set_xticks(range(0, len(columns), every), columns[::every])
        axes.set_yticks(range(len(rows)), rows)
        axes.set_xlabel(swept.parameters[1].path)
        axes.set_ylabel(swept.parameters[0].path)
        if grid.size <= 200:
            _cell_texts(axes, grid, swept)
        about = "Mean over the seeds; (!) where a rule broke."
        return Plot(name, about, _svg(figure, f"sweep {name}"))


def _cell_texts(axes: Any, grid: Any, swept: Sweep) -> None:
    low, high = np.nanmin(grid), np.nanmax(grid)
    for i, point in enumerate(swept.points):
        row, column = divmod(i, grid.shape[1])
        value = grid[row, column]
        dark = high > low and (value - low) / (high - low) < 0.6
        text = "-" if np.isnan(value) else f"{value:.3g}" + (" (!)" if point.violations else "")
        axes.text(column, row, text, ha="center", va="center", fontsize=8, color="white" if dark else "black")
