"""Sends a few commands to the node of examples/config.json, and prints the commands and the responses."""

import socket

COMMANDS = (
    b"mn\r\n",
    b"mg menu v Or1 Pc=read,t=acme,d=2000\r\n",
    b"mg menu v Or2 Pc=read,t=acme,d=2000\r\n",
    b"ms menu 4 Or3 Pc=put,t=acme,d=2000,k=5c0f\r\nsoup\r\n",
    b"mg menu v Or4 Pc=read,t=acme,d=2000\r\n",
    b"nonsense\r\n",
)


def main() -> None:
    """Send the commands one at a time, and print each with its response."""
    with socket.create_connection(("127.0.0.1", 11211), timeout=5) as connection:
        responses = connection.makefile("rb")
        for command in COMMANDS:
            connection.sendall(command)
            print(">", command.decode().strip().replace("\r\n", " | "))
            line = responses.readline()
            print("<", line.decode().strip())
            if line.startswith(b"VA "):
                length = int(line.split()[1])
                print("<", responses.read(length + 2)[:length].decode())


if __name__ == "__main__":
    main()
