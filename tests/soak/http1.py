"""HTTP/1.1 over asyncio streams; h11 does the framing."""

import asyncio
from dataclasses import dataclass, field

import h11

READ_SIZE = 65536


@dataclass(frozen=True)
class Request:
    method: str
    target: str
    headers: dict  # Names in lower case.
    body: bytes = b""

    def header(self, name):
        return self.headers.get(name.lower(), "")


class ServerConnection:
    """One accepted connection; a handler answers its requests one after the other."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.SERVER)
        self.peer_gone = asyncio.Event()
        self.attempts = set()  # Ids of the requests so far.
        self.copies = []  # Answers too many, as bytes, that are due ahead of the next one.

    async def serve(self, handler):
        try:
            while True:
                request = await self._read_request()
                if request is None:
                    return
                watch = asyncio.create_task(self._watch_peer())
                try:
                    await handler(request, self)
                finally:
                    watch.cancel()
                    await asyncio.gather(watch, return_exceptions=True)
                if self.peer_gone.is_set() or self.writer.transport.is_closing():
                    return
                if self.protocol.our_state is not h11.DONE or self.protocol.their_state is not h11.DONE:
                    return
                self.protocol.start_next_cycle()
        except (ConnectionError, h11.ProtocolError, asyncio.IncompleteReadError):
            return  # The peer broke off; what it had asked is on record already.
        finally:
            self.writer.close()

    async def _read_request(self):
        head, body = None, bytearray()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                self.protocol.receive_data(await self.reader.read(READ_SIZE))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                headers = {name.decode().lower(): value.decode("latin-1") for name, value in head.headers}
                return Request(head.method.decode(), head.target.decode(), headers, bytes(body))
            else:
                return None

    async def _watch_peer(self):
        try:
            data = await self.reader.read(READ_SIZE)
        except ConnectionError:
            data = b""
        if data:
            self.protocol.receive_data(data)
        else:
            self.peer_gone.set()

    async def start(self, status, headers):
        await self._send(h11.Response(status_code=status, headers=headers))

    async def send(self, data):
        await self._send(h11.Data(data=data))

    async def finish(self):
        await self._send(h11.EndOfMessage())

    async def answer(self, status, headers, body):
        await self.start(status, [*headers, ("Content-Length", str(len(body)))])
        if body:
            await self.send(body)
        await self.finish()

    def abort(self):
        self.writer.transport.abort()

    async def _send(self, event):
        data = self.protocol.send(event)
        if data:
            self.writer.write(data)
            await self.writer.drain()


async def listen(handler, port=0):
    """Serves on loopback. Returns the server and its port."""

    async def serve(reader, writer):
        await ServerConnection(reader, writer).serve(handler)

    server = await asyncio.start_server(serve, "127.0.0.1", port)
    return server, server.sockets[0].getsockname()[1]


@dataclass
class Answer:
    """What a caller saw of an answer."""

    status: int = 0  # 0 if none came.
    headers: dict = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)
    is_complete: bool = False
    failure: str = ""
    sent_whole_at: float = 0.0
    ended_at: float = 0.0


class ClientConnection:
    """A caller's connection, kept open over several requests."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.protocol = h11.Connection(h11.CLIENT)
        self.is_usable = True

    @classmethod
    async def open(cls, port, limit):
        reader, writer = await asyncio.wait_for(asyncio.open_connection("127.0.0.1", port), limit)
        return cls(reader, writer)

    async def exchange(self, method, target, headers, body, on_data=None):
        """Sends a request and reads the answer. on_data(answer) may return False to leave."""
        answer = Answer()
        loop = asyncio.get_running_loop()
        try:
            parts = [h11.Request(method=method, target=target, headers=headers), h11.Data(data=body), h11.EndOfMessage()]
            self.writer.write(b"".join(self.protocol.send(part) for part in parts))
            answer.sent_whole_at = loop.time()
            await self._read_answer(answer, on_data)
        except ConnectionError as failure:
            answer.failure = f"connection: {failure}"
        except h11.RemoteProtocolError as failure:
            # An end before the whole body is a visible break; everything else is no answer of the protocol.
            kind = "closed" if "peer closed connection" in str(failure) else "protocol"
            answer.failure = f"{kind}: {failure}"
        answer.ended_at = loop.time()
        both_done = self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE
        if both_done:
            self.protocol.start_next_cycle()
        else:
            self.close()
        return answer

    async def _read_answer(self, answer, on_data):
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                data = await self.reader.read(READ_SIZE)
                if not data and not answer.status:
                    answer.failure = "closed before the answer"
                    return
                self.protocol.receive_data(data)
            elif isinstance(event, h11.Response):
                answer.status = event.status_code
                answer.headers = {name.decode().lower(): value.decode("latin-1") for name, value in event.headers}
            elif isinstance(event, h11.Data):
                answer.body += event.data
                if on_data and not on_data(answer):
                    answer.failure = "left by the caller"
                    self.close()
                    return
            elif isinstance(event, h11.EndOfMessage):
                answer.is_complete = True
                return
            else:
                answer.failure = "closed"
                return

    def close(self):
        self.is_usable = False
        self.writer.transport.abort()
