"""Connection establishment: SYN, SYN-ACK, refusal."""

from flintridge.lab.virtual.addresses import Address, canonical_ip
from flintridge.lab.virtual.client_socket import ClientSocket
from flintridge.lab.virtual.link import LINK_RESET, LINK_UP
from flintridge.lab.virtual.listening_socket import ListeningSocket
from flintridge.lab.virtual.machine import Machine
from flintridge.lab.virtual.network import Network
from flintridge.lab.virtual.send_path import SendPath
from flintridge.lab.virtual.system_call_faults import check_connect_calls, too_many_open_files
from flintridge.lab.virtual.tcp_socket import TcpSocket

UNKNOWN_ADDRESS_S = 50e-6  # one-way delay to the host's own kernel, which refuses addresses that no host has


def connect(network: Network, name: str, port: int) -> ClientSocket:
    """Start to connect on behalf of the calling process.

    Returns:
        A socket whose `connected` completes when the attempt succeeds or fails. It stays pending if the other
        side never answers.

    Raises:
        OSError: If a system call fails.
    """
    loop = network.loop
    process = network.current_process()
    host = process.host
    if process.out_of_descriptors:
        raise too_many_open_files()
    if host.system_call_faults is not None:
        check_connect_calls(host.system_call_faults)
    local_address = (host.ip, network.addresses.next_source_port(host.ip))
    address = (canonical_ip(name), int(port))
    socket = ClientSocket(loop, process, network.window, local_address, address)
    if not process.dead:
        process.connections[socket] = None
        _Handshake(network, socket, address).start()
    return socket


class _Handshake:
    """Performs the handshake that connects one socket to an address."""

    def __init__(self, network: Network, client: ClientSocket, address: Address) -> None:
        self._network = network
        self._loop = network.loop
        self._client = client
        self._address = address

    def start(self) -> None:
        """Send a SYN."""
        client = self._client
        loop = self._loop
        host = client.process.host
        target = self._network.addresses.machine_at(self._address, host)
        if target is None:
            loop.schedule_network_event(loop.now_s + 2 * UNKNOWN_ADDRESS_S, client.connect_refused)
            return
        client.peer_host = target.name
        link = self._network.link(host.name, target.name)
        path = SendPath(loop, link)
        client.path = path
        if link.state == LINK_UP:
            delay_s = link.delay(loop.now_s * 1000, 0) / 1000
            path.last_arrival_s = loop.now_s + delay_s + self._network.connect_s
            loop.schedule_network_event(path.last_arrival_s, self._syn_arrived, target)
        elif link.state == LINK_RESET:
            client.cut_off()

    def _syn_arrived(self, target: Machine) -> None:
        client = self._client
        assert client.path is not None
        link = client.path.link
        if link.state != LINK_UP or target.vanished:
            if link.state == LINK_RESET:
                client.cut_off()
            return
        source = client.process.host
        listening = self._network.listening_sockets.lookup(self._address, source)
        return_link = self._network.link(target.name, source.name)
        if listening is None or not listening.serving:
            if return_link.state == LINK_UP:
                delay_s = return_link.delay(self._loop.now_s * 1000, 0) / 1000
                self._loop.schedule_network_event(self._loop.now_s + delay_s, self._refusal_arrived, target)
        elif not listening.queue_full:  # like Linux, a full accept queue drops the SYN
            self._accept(listening, SendPath(self._loop, return_link))

    def _accept(self, listening: ListeningSocket, path: SendPath) -> None:
        client = self._client
        process = listening.process
        server = TcpSocket(
            self._loop, process, self._network.window, client.peer_address, client.local_address
        )
        server.peer = client
        client.peer = server
        server.peer_host = client.process.host.name
        server.path = path
        process.connections[server] = None
        listening.connection_arrived(server)
        server.send_signal(client.syn_ack_arrived)

    def _refusal_arrived(self, target: Machine) -> None:
        if self._network.link(target.name, self._client.process.host.name).state == LINK_UP:
            self._client.connect_refused()
