"""What a request really is, by its id: clients write it down before they send, servers work by it."""

import msgspec


class Fact(msgspec.Struct, frozen=True, gc=False):
    cls: str
    tenant: str
    key: str
    write: bool
    work_ms: float  # on a core of speed 1
    size: int  # bytes of the value, of a read by the key's size, of a write as sent
    idem: str = ""


class Truth:
    """Facts by uid; `forget` keeps a long day from growing."""

    def __init__(self) -> None:
        self._facts: dict[str, Fact] = {}

    def put(self, uid: str, fact: Fact) -> None:
        self._facts[uid] = fact

    def get(self, uid: str) -> Fact | None:
        return self._facts.get(uid)

    def forget(self, uid: str) -> None:
        self._facts.pop(uid, None)
