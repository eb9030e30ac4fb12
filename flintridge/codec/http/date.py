"""HTTP dates in their one current form, as in `Date: Sun, 06 Nov 1994 08:49:37 GMT` (RFC 9110, 5.6.7).

A numeric offset in place of `GMT` is read too, as e-mail has it.

The standard library's `email.utils` reads these too, but costs a node 1.4 MB of memory.
"""

import re
from datetime import UTC, datetime, timedelta, timezone

MS_PER_S = 1000.0
MONTHS = (b"Jan", b"Feb", b"Mar", b"Apr", b"May", b"Jun", b"Jul", b"Aug", b"Sep", b"Oct", b"Nov", b"Dec")
IMF_FIXDATE = re.compile(
    rb"(?:Mon|Tue|Wed|Thu|Fri|Sat|Sun), (\d\d) (%b) (\d{4}) (\d\d):(\d\d):(\d\d) (?:GMT|([+-]\d{4}))"
    % b"|".join(MONTHS)
)


def parse_date_ms(value: bytes) -> float | None:
    """An HTTP date as Unix time in milliseconds.

    Args:
        value: The field's value.

    Returns:
        None where it is no date of this form, or there is no such instant.
    """
    match = IMF_FIXDATE.fullmatch(value)
    if match is None:
        return None
    day, month, year, hour, minute, second, offset = match.groups()
    try:
        date = datetime(
            int(year),
            MONTHS.index(month) + 1,
            int(day),
            int(hour),
            int(minute),
            min(int(second), 59),  # a leap second
            tzinfo=_zone(offset),
        )
    except ValueError:
        return None
    return date.timestamp() * MS_PER_S


def _zone(offset: bytes | None) -> timezone:
    """Of an offset as `+0130`; raises ValueError where it is a day or more."""
    if offset is None:
        return UTC
    minutes = int(offset[1:3]) * 60 + int(offset[3:])
    return timezone(timedelta(minutes=-minutes if offset.startswith(b"-") else minutes))
