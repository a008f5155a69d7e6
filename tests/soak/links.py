"""A loopback proxy that delays, resets, silences or half-cuts what goes
through it. One stands in front of every port that others connect to."""

import asyncio


class Link:
    def __init__(self, name, target):
        self.name = name
        self.target = target
        self.delay_s = 0.0
        self.silent_in = False  # nothing reaches the target
        self.silent_out = False  # no answer comes back
        self.open = set()

    async def start(self, address, port):
        self.server = await asyncio.start_server(self.connect, address, port)

    async def connect(self, reader, writer):
        try:
            host, port = self.target.split(":")
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far_writer)
        self.open.add(pair)
        try:
            await asyncio.gather(
                self.pump(reader, far_writer, lambda: self.silent_in),
                self.pump(far_reader, writer, lambda: self.silent_out))
        except (OSError, ConnectionError):
            pass
        finally:
            self.open.discard(pair)
            for one in pair:
                one.transport.abort()

    async def pump(self, reader, writer, silent):
        while data := await reader.read(65536):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            while silent():
                await asyncio.sleep(0.05)  # held up until it heals
            writer.write(data)
            await writer.drain()
        writer.write_eof()

    def reset(self):
        for pair in list(self.open):
            for one in pair:
                one.transport.abort()

    def heal(self):
        self.delay_s = 0.0
        self.silent_in = self.silent_out = False
