"""Corruption of the responses of a cache server."""

import random

from flintridge.lab.world import corruption


def test_a_corrupted_response_when_not_intact_is_never_the_response():
    response = b"VA 5 Ou1\r\nhello\r\n"
    for name in corruption.VARIANTS:
        corrupted = corruption.corrupt_as(name, random.Random(1), "u1", response, b"hello")
        assert (
            corrupted.startswith(response) == (name in corruption.INTACT_VARIANTS) and corrupted != response
        )
    assert corruption.corrupt_as("other_id", random.Random(1), "u1", b"EN Ou1\r\n", None) == b"EN Ou0\r\n"
