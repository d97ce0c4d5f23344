"""A loopback proxy that harms the connections through it."""

import asyncio
import enum

READ_SIZE = 65536


class Mode(enum.Enum):
    PASS = "pass"
    DELAY = "delay"  # Each piece comes `delay` seconds later.
    REFUSE = "refuse"  # Open connections are reset, and new ones too.
    SILENT = "silent"  # Nothing passes either way; nothing is closed.
    NO_ANSWERS = "no_answers"  # Only the way to the server works.


class FaultProxy:
    def __init__(self, target_port):
        self.target_port = target_port
        self.mode = Mode.PASS
        self.delay = 0.0
        self.port = 0
        self.keeps_server_side = False  # Sabotage: the server does not learn that its caller left.
        self.identify = lambda port, peer_port: ""  # Names the owner of a connection.
        self._peers = {}  # Port of the connection to the server -> port of the client.
        self._senders = {}  # The same -> name of the client, once asked for.
        self._pairs = set()
        self._stuck = set()  # Connections that lost bytes while silent: they never work again.
        self._server = None
        self._forever = asyncio.Event()  # Never set.

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]
        return self

    def set(self, mode, delay=0.0):
        self.mode = mode
        self.delay = delay
        if mode is Mode.REFUSE:
            self.reset()

    def sender(self, port):
        """Returns the owner of the connection that arrives at the server from this port."""
        if port in self._peers and port not in self._senders:
            self._senders[port] = self.identify(self._peers[port], self.port)
        return self._senders.get(port, "")

    def reset(self):
        """Resets every open connection."""
        for writers in list(self._pairs):
            for writer in writers:
                writer.transport.abort()

    def silence_open(self):
        """Open connections go silent for good, new ones work."""
        self._stuck.update(self._pairs)

    async def _serve(self, reader, writer):
        if self.mode is Mode.REFUSE:
            writer.transport.abort()
            return
        try:
            server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        except ConnectionError:
            writer.transport.abort()
            return
        own_port = server_writer.get_extra_info("sockname")[1]
        self._peers[own_port] = writer.get_extra_info("peername")[1]
        pair = (writer, server_writer)
        self._pairs.add(pair)
        ways = [
            asyncio.create_task(self._copy(pair, reader, server_writer, is_answer=False)),
            asyncio.create_task(self._copy(pair, server_reader, writer, is_answer=True)),
        ]
        await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        if self.keeps_server_side and ways[0].done():
            writer.close()
            await asyncio.wait(ways)
        for way in ways:
            way.cancel()
        await asyncio.gather(*ways, return_exceptions=True)
        for known in (self._peers, self._senders):
            known.pop(own_port, None)
        self._pairs.discard(pair)
        self._stuck.discard(pair)
        for each in pair:
            each.close()

    async def _copy(self, pair, reader, writer, is_answer):
        try:
            while True:
                data = await reader.read(READ_SIZE)
                if self.mode is Mode.SILENT or (self.mode is Mode.NO_ANSWERS and is_answer):
                    self._stuck.add(pair)
                if pair in self._stuck:
                    await self._forever.wait()  # Until the other way ends.
                if not data:
                    return
                if self.mode is Mode.DELAY:
                    await asyncio.sleep(self.delay)
                if not (self.keeps_server_side and is_answer and writer.is_closing()):
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            return  # A reset on one side becomes a close on the other.
