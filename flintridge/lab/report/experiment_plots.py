"""Draws the plots of comparisons and sweeps."""

from collections.abc import Sequence
from typing import Any

import numpy as np
from matplotlib.ticker import FuncFormatter, MaxNLocator

from flintridge.lab.experiment.compare import Comparison
from flintridge.lab.experiment.sweep import Sweep
from flintridge.lab.report.svg_figures import (
    BLUE,
    GREEN,
    GREY,
    GRID,
    INK,
    ORANGE,
    RED,
    Plot,
    add_legend,
    new_figure,
    svg_element,
)


def compare_plots(comparison: Comparison) -> list[Plot]:
    """Return the plot of all differences with their intervals, and the plot of the pairs by seed."""
    if not comparison.pairs:
        return []
    return [_difference_plot(comparison), *_pair_plots(comparison)]


def _difference_plot(comparison: Comparison) -> Plot:
    """Plot differences in percent of A's mean, which puts metrics of different units on one axis."""
    differences = [difference for difference in comparison.metrics if difference.a]
    colours = {"better": GREEN, "worse": RED, "even": GREY, "unsure": GREY}
    with new_figure(0.7 + 0.34 * len(differences)) as (figure, axes):
        for row, difference in enumerate(differences):
            scale = 100 / abs(difference.a)
            colour = colours[difference.verdict]
            axes.plot(
                [difference.low * scale, difference.high * scale],
                [row, row],
                color=colour,
                linewidth=3,
                alpha=0.6,
            )
            axes.plot([difference.mean * scale], [row], "o", color=colour, markersize=6)
        axes.axvline(0, color=INK, linewidth=0.8)
        axes.set_yticks(range(len(differences)), [difference.name for difference in differences])
        axes.invert_yaxis()
        axes.set_xlabel("B - A, in % of A's mean")
        title = "Differences"
        about = "Mean paired differences and 95% intervals; grey if the interval contains 0 or pairs are few."
        return Plot(title, about, svg_element(figure, title))


def _pair_plots(comparison: Comparison) -> list[Plot]:
    """Plot the goodput and p99 of both runs of each seed."""
    seeds = [pair.seed for pair in comparison.pairs]
    with new_figure(2.4, columns=2) as (figure, both):
        for axes, name, unit in zip(both, ("goodput", "p99"), ("goodput", "p99, ms"), strict=True):
            for index, pair in enumerate(comparison.pairs):
                axes.plot([index, index], [pair.a[name], pair.b[name]], color=GRID, linewidth=2, zorder=1)
            axes.plot([pair.a[name] for pair in comparison.pairs], "o", color=BLUE, label="A", markersize=5)
            axes.plot([pair.b[name] for pair in comparison.pairs], "o", color=ORANGE, label="B", markersize=5)
            axes.xaxis.set_major_locator(MaxNLocator(8, integer=True))
            axes.xaxis.set_major_formatter(
                FuncFormatter(lambda at, _: str(seeds[int(at)]) if 0 <= at < len(seeds) else "")
            )
            axes.set_xlabel("seed")
            axes.set_ylabel(unit)
            add_legend(axes)
        title = "Results by seed"
        return [
            Plot(title, "Both runs of a seed have the same requests and faults.", svg_element(figure, title))
        ]


def sweep_plots(swept: Sweep) -> list[Plot]:
    """Return line plots of a sweep over one parameter, or heat maps of a sweep over two."""
    if not any(point.metrics for point in swept.points):
        return []
    if len(swept.parameters) == 2:
        return [_sweep_map(swept, name) for name in ("goodput", "p99", "attempts_per_request")]
    plotted = (("goodput", ""), ("p99", "ms"), ("attempts_per_request", ""), ("origin_per_request", ""))
    return [_sweep_line(swept, name, unit) for name, unit in plotted]


def _numbers(values: Sequence[str]) -> list[float] | None:
    """Return the values as numbers, or None if any value is not a number."""
    try:
        return [float(value) for value in values]
    except ValueError:
        return None


def _sweep_line(swept: Sweep, name: str, unit: str) -> Plot:
    """Plot a metric over a single parameter, with its interval as a band."""
    values = [point.values[0] for point in swept.points]
    numbers = _numbers(values)
    positions = numbers if numbers is not None else [float(i) for i in range(len(values))]
    summaries = [point.metrics.get(name) for point in swept.points]
    missing = float("nan")
    with new_figure(2.6) as (figure, axes):
        low = [missing if s is None else s.low for s in summaries]
        high = [missing if s is None else s.high for s in summaries]
        axes.fill_between(positions, low, high, color=BLUE, alpha=0.18, linewidth=0)
        axes.plot(
            positions, [missing if s is None else s.mean for s in summaries], "o-", color=BLUE, markersize=4
        )
        broken = [
            (x, s) for x, s, p in zip(positions, summaries, swept.points, strict=True) if p.violations and s
        ]
        if broken:
            xs = [x for x, _ in broken]
            ys = [summary.mean for _, summary in broken]
            axes.plot(xs, ys, "x", color=RED, markersize=9, markeredgewidth=2, label="rule broken")
            add_legend(axes)
        if numbers is None:
            axes.set_xticks(positions, values)
        axes.set_xlabel(swept.parameters[0].path)
        axes.set_ylabel(f"{name}, {unit}" if unit else name)
        about = f"Mean over {len(swept.seeds)} seeds; the band is a bootstrap 95% interval."
        return Plot(name, about, svg_element(figure, f"sweep {name}"))


def _sweep_map(swept: Sweep, name: str) -> Plot:
    """Plot a metric over two parameters as a heat map."""
    rows, columns = (parameter.values for parameter in swept.parameters)
    means = [p.metrics[name].mean if name in p.metrics else float("nan") for p in swept.points]
    grid = np.array(means).reshape(len(rows), len(columns))
    with new_figure(min(6.0, 1.3 + 0.34 * len(rows))) as (figure, axes):
        image = axes.imshow(grid, aspect="auto", cmap="viridis", interpolation="nearest")
        figure.colorbar(image, ax=axes, label=name, pad=0.01)
        axes.grid(False)
        tick_step = max(1, len(columns) // 16)
        axes.set_xticks(range(0, len(columns), tick_step), columns[::tick_step])
        axes.set_yticks(range(len(rows)), rows)
        axes.set_xlabel(swept.parameters[1].path)
        axes.set_ylabel(swept.parameters[0].path)
        if grid.size <= 200:
            _cell_texts(axes, grid, swept)
        about = "Mean over the seeds; (!) marks points with a broken rule."
        return Plot(name, about, svg_element(figure, f"sweep {name}"))


def _cell_texts(axes: Any, grid: Any, swept: Sweep) -> None:
    """Write the value into each cell of a heat map, in a colour that contrasts with the cell."""
    low = np.nanmin(grid)
    high = np.nanmax(grid)
    for i, point in enumerate(swept.points):
        row, column = divmod(i, grid.shape[1])
        value = grid[row, column]
        dark = high > low and (value - low) / (high - low) < 0.6
        text = "-" if np.isnan(value) else f"{value:.3g}" + (" (!)" if point.violations else "")
        axes.text(column, row, text, ha="center", va="center", fontsize=8, color="white" if dark else "black")
