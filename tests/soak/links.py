"""A loopback proxy that delays, resets or silences connections, in one or both
directions. Every port that other processes connect to has one."""

import asyncio

from wire import read_message

FORWARD_S = 0.02  # enough for a request of one segment to reach its target
ANSWER_DELAY_S = 1.0  # enough for a forwarded request to be executed


class Link:
    def __init__(self, name, target, sender=lambda: "?"):
        self.name = name
        self.target = target
        self.sender = sender  # returns the process that connects now
        self.senders = {}  # local port towards the target: who connected
        self.delay_s = 0.0
        self.silent_in = False  # delays requests until the link recovers
        self.silent_out = False  # delays answers until the link recovers
        self.open = set()
        self.dead = set()  # connections that transmit nothing any more
        self.held = set()  # connections delayed until the link recovers
        # Connections of which only the requests are delayed until the link
        # recovers.
        self.held_in = set()
        self.cuts_left = 0  # requests after which the connection is cut
        self.rejects_all = False  # answers each request with 503

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.connect, address, port)

    async def connect(self, reader, writer):
        if self.rejects_all:
            await self.reject_requests(reader, writer)
            return
        try:
            host, port = self.target.split(":")
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        port = far_writer.get_extra_info("sockname")[1]
        self.senders[port] = self.sender()
        self.open.add(pair)
        try:
            await asyncio.gather(
                self.pump(pair, reader, far_writer, lambda: self.silent_in
                          or pair in self.held_in, inward=True),
                self.pump(pair, far_reader, writer, lambda: self.silent_out))
        except (OSError, ConnectionError):
            pass
        except asyncio.CancelledError:
            pass  # the event loop cancels open connections at the end
        finally:
            self.open.discard(pair)
            self.dead.discard(pair)
            self.held.discard(pair)
            self.held_in.discard(pair)
            for side in pair:
                side.transport.abort()

    async def pump(self, pair, reader, writer, silent, inward=False):
        while data := await reader.read(65536):
            if pair in self.dead:
                continue
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while silent() or pair in self.held:
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
            if inward and self.cuts_left > 0:
                await self.cut(pair)
        if pair not in self.dead:
            writer.write_eof()

    async def reject_requests(self, reader, writer):
        """Answers every request with 503 without forwarding it."""
        try:
            while self.rejects_all:
                await read_message(reader)
                writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.transport.abort()

    def begin_rejecting(self):
        self.rejects_all = True
        self.reset()

    async def cut(self, pair):
        """Aborts the client's side of a connection once its request has been
        forwarded; the target executes it and its answer is lost."""
        self.cuts_left -= 1
        self.dead.add(pair)
        client, target = pair
        await asyncio.sleep(FORWARD_S)
        client.transport.abort()
        await asyncio.sleep(ANSWER_DELAY_S)
        target.transport.abort()

    def silence_connections(self):
        """Makes all open connections dead: they stay open and transmit nothing
        any more, even after the link recovers. New connections work."""
        self.dead |= self.open

    def reset(self):
        for pair in list(self.open):
            for side in pair:
                side.transport.abort()

    def hold(self):
        """Delays all data on the open connections until the link recovers,
        even if the sender ends. New connections work."""
        self.held |= self.open

    def hold_requests(self):
        """Like hold(), but answers are not delayed."""
        self.held_in |= self.open

    def heal(self):
        self.rejects_all = False
        self.held.clear()
        self.held_in.clear()
        self.cuts_left = 0
        self.delay_s = 0.0
        self.silent_in = self.silent_out = False
