"""Long values, as clients and servers write them."""

from hypothesis import strategies as st

from flintridge.codec.long_value import LONG_VALUE_BYTES

LENGTH = LONG_VALUE_BYTES + 5000


VALUE = bytes(97 + i * 7 % 26 for i in range(LENGTH))


ANSWER = b"VA %d Oa1 h1\r\n%b\r\n" % (LENGTH, VALUE)


HTTP = b"HTTP/1.1 200 OK\r\nReq-Id: a1\r\nContent-Length: %d\r\n\r\n%b" % (LENGTH, VALUE)


CUTS = st.lists(st.integers(0, LENGTH + 200), max_size=12)


def pieces_of(data: bytes, cuts: list[int]) -> list[bytes]:
    edges = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
    return [data[a:b] for a, b in zip(edges, edges[1:], strict=False) if a < b]  # noqa: RUF007


LONG_WRITE = b"ms key7 %d Oa1 Pc=put,d=900\r\n%b\r\n" % (LENGTH, VALUE)
