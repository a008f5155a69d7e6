"""A loopback proxy that delays, resets, silences or half-cuts what goes
through it. One stands in front of every port that others connect to."""

import asyncio

from wire import read_message

FORWARD_S = 0.02  # a request of one segment is at its target by then
ANSWER_DELAY_S = 1.0  # ... and was carried out

class Link:
    def __init__(self, name, target, sender=lambda: "?"):
        self.name = name
        self.target = target
        self.sender = sender  # tells who connects now
        self.senders = {}  # our port towards the target: who connected
        self.delay_s = 0.0
        self.silent_in = False  # nothing reaches the target
        self.silent_out = False  # no answer comes back
        self.open = set()
        self.dead = set()  # connections that say nothing any more
        self.held = set()  # connections whose bytes wait until it heals
        self.held_in = set()  # ... of which only requests wait
        self.cuts_left = 0  # requests that pass and then lose their connection
        self.rejects_all = False  # each request is answered 503 here

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
            pass  # the soak is over; its loop ends what is left
        finally:
            self.open.discard(pair)
            self.dead.discard(pair)
            self.held.discard(pair)
            self.held_in.discard(pair)
            for one in pair:
                one.transport.abort()

    async def pump(self, pair, reader, writer, silent, inward=False):
        while data := await reader.read(65536):
            if pair in self.dead:
                continue
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while silent() or pair in self.held:
                await asyncio.sleep(0.05)  # held up until it heals
            writer.write(data)
            await writer.drain()
            if inward and self.cuts_left > 0:
                await self.cut(pair)
        if pair not in self.dead:
            writer.write_eof()

    async def reject_requests(self, reader, writer):
        """Answers every request in the target's place that nothing is done."""
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
        """Ends a connection for its client, once its request has passed; the
        target never learns that nobody hears the answer."""
        self.cuts_left -= 1
        self.dead.add(pair)
        client, target = pair
        await asyncio.sleep(FORWARD_S)
        client.transport.abort()
        await asyncio.sleep(ANSWER_DELAY_S)
        target.transport.abort()

    def silence_connections(self):
        """What is open now stays open and says nothing more, also after the
        link heals; new connections work."""
        self.dead |= self.open

    def reset(self):
        for pair in list(self.open):
            for one in pair:
                one.transport.abort()

    def hold(self):
        """Holds back what is sent on connections that are open now, also
        beyond their sender's end; new ones work."""
        self.held |= self.open

    def hold_requests(self):
        """As hold, while answers pass."""
        self.held_in |= self.open

    def heal(self):
        self.rejects_all = False
        self.held.clear()
        self.held_in.clear()
        self.cuts_left = 0
        self.delay_s = 0.0
        self.silent_in = self.silent_out = False
