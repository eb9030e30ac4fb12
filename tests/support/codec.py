"""Valid commands and responses of both protocols, and helpers that feed them in pieces."""

from hypothesis import strategies as st

from flintridge.codec.memcache.command_parser import CommandParser
from flintridge.codec.memcache.commands import ValueAnnounced
from support.network import SETTINGS

READ = b"mg key7 v Oa1 Pc=read,t=acme,d=480,h=12000,size=18\r\n"


WRITE = b"ms key7 7 Oa2 Pc=put,t=acme,d=900,k=5c0f,r=1\r\nhe\r\nllo\r\n"


STREAM = READ + WRITE + b"mn\r\nfly away\r\nmg key7 v q\r\n" + READ


def split_at(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({c % (len(data) + 1) for c in cuts})
    return [data[a:b] for a, b in zip([0, *places], [*places, len(data)], strict=True)]


def complete_commands(parser: CommandParser, data: bytes = b"", admitted: bool = True) -> list:
    """Feed bytes to a parser, and return the commands that are complete; values are admitted or skipped."""
    commands = []
    parser.feed(data)
    while (command := parser.next_command()) is not None:
        if isinstance(command, ValueAnnounced):
            parser.admit_value(admitted)
        else:
            commands.append(command)
    return commands


def parse_commands(pieces: list[bytes]) -> list:
    parser = CommandParser(SETTINGS)
    return [command for piece in pieces for command in complete_commands(parser, piece)]


def feed_all(exchange, pieces: list[bytes]):
    return next((a for piece in pieces if (a := exchange.feed(piece)) is not None), None)


CUTS = st.lists(st.integers(0, 400), max_size=12)


VALUE = b"VA 7 Oa1 h0 Z Lqps=7,util=0.61\r\nva\r\nlue\r\n"


STATS = b"STAT qps 12.5\r\nSTAT util 0.4\r\nEND\r\n"


HTTP = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nSrv-Load: qps=3\r\n\r\n"
HTTP += b"4\r\nva\r\n\r\n3\r\nlue\r\n0\r\n\r\n"
