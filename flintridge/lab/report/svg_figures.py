"""Creates figures as inline SVG in a common style.

Only the modules of plots import Matplotlib, so that commands without a report do not pay for loading it.
"""

import io
import re
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import matplotlib
import msgspec
from matplotlib.backends.backend_svg import FigureCanvasSVG
from matplotlib.figure import Figure

INK = "#30363d"
GRID = "#d7dce1"
BLUE = "#2c6fbb"
ORANGE = "#d9822b"
GREEN = "#3a9a5b"
RED = "#c63d3d"
PURPLE = "#7a55a8"
GREY = "#8a939c"
LINE_COLOURS = (
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
    "svg.fonttype": "none",  # text is not converted to paths, so that search and screen readers can find it
    "font.family": "sans-serif",
    "font.sans-serif": ["Segoe UI", "Helvetica Neue", "Arial", "DejaVu Sans"],
    "font.size": 9.5,
    "text.parse_math": False,  # names come from files, and a dollar sign in them does not begin a formula
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
    """A plot of a report.

    Attributes:
        title: The heading of the plot.
        about: A description of the plot.
        svg: The plot as an SVG element.
    """

    title: str
    about: str
    svg: str


@contextmanager
def new_figure(rows: float = 2.4, columns: int = 1, width: float = 9.6) -> Iterator[tuple[Figure, Any]]:
    """Yield a figure and its axes in the style of reports, without the global state of pyplot."""
    with matplotlib.rc_context(STYLE):
        figure = Figure(figsize=(width, rows), layout="constrained")
        FigureCanvasSVG(figure)
        yield figure, figure.subplots(1, columns)


def svg_element(figure: Figure, name: str) -> str:
    """Return a figure as an SVG element for HTML: without prolog, scalable, and with unique ids."""
    # With this salt, ids depend only on the plot, so that the same result gives the same file.
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


def add_legend(axes: Any, *twins: Any, columns: int = 4) -> None:
    """Add a legend above the axes for the lines of the axes and of their twin axes."""
    handles, labels = axes.get_legend_handles_labels()
    for twin in twins:
        twin_handles, twin_labels = twin.get_legend_handles_labels()
        handles = handles + twin_handles
        labels = labels + twin_labels
    axes.legend(handles, labels, loc="lower left", bbox_to_anchor=(0, 1), ncols=columns, borderaxespad=0.2)
