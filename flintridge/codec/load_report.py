"""Parser for the load reports that servers attach to their responses."""

import math


def parse_load_report(text: bytes) -> dict[str, float]:
    """Parse a load report into its finite numbers by name; everything else in it is ignored.

    Args:
        text: `name=number` pairs, separated by commas.
    """
    report = {}
    for pair in text.split(b","):
        name, _, value = pair.partition(b"=")
        try:
            number = float(value)
        except ValueError:
            continue
        if name and math.isfinite(number):
            report[name.decode("ascii", "replace")] = number
    return report
