"""HTTP/1.1 with keep-alive, for the stand-ins and the soak's callers."""

import asyncio
import json
import urllib.parse


class Silence(Exception):
    """The server stops answering on this connection and keeps it open."""


class Reset(Exception):
    """The server resets the connection."""


async def read_message(reader):
    """Reads one request or answer; returns first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


async def serve(address, port, handler):
    """Serves requests with handler(method, path, query, headers, document),
    which returns a status and a document, or raises Silence or Reset. The
    additional header `peer-port` identifies the connection."""

    async def connection(reader, writer):
        peer_port = writer.get_extra_info("peername")[1]
        try:
            while True:
                first, headers, body = await read_message(reader)
                headers["peer-port"] = peer_port
                method, target, _ = first.split(" ", 2)
                parts = urllib.parse.urlsplit(target)
                query = dict(urllib.parse.parse_qsl(parts.query))
                document = json.loads(body) if body else {}
                status, answer = await handler(
                    method, urllib.parse.unquote(parts.path), query, headers,
                    document)
                text = json.dumps(answer).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json"
                             b"\r\nContent-Length: %d\r\n\r\n"
                             % (status, len(text)) + text)
                await writer.drain()
        except Silence:
            await asyncio.sleep(3600)
        except Reset:
            writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def until_the_end(reader, writer):
        try:
            await connection(reader, writer)
        except asyncio.CancelledError:
            pass  # the event loop cancels open connections at the end

    return await asyncio.start_server(until_the_end, address, port)


class Connection:
    """A client connection, kept open between calls and reopened on failure."""

    def __init__(self, address):
        self.address = address
        self.stream = None

    async def call(self, method, path, document=None, headers=None, timeout=3):
        """Returns status and document. The status is None if the outcome is
        unknown, 0 if nothing was sent. A document of bytes is sent as it is.
        """
        sent = False
        try:
            async with asyncio.timeout(timeout):
                if self.stream is None:
                    host, port = self.address.split(":")
                    self.stream = await asyncio.open_connection(host, int(port))
                reader, writer = self.stream
                body = document or b""
                if not isinstance(body, bytes):
                    body = json.dumps(document).encode()
                lines = [f"{method} {path} HTTP/1.1",
                         f"Content-Length: {len(body)}"]
                lines += [f"{name}: {value}"
                          for name, value in (headers or {}).items()]
                sent = True
                writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
                await writer.drain()
                first, _, answer = await read_message(reader)
                return int(first.split()[1]), json.loads(answer or b"{}")
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            self.close()
            return (None if sent else 0), {}

    def close(self):
        if self.stream is not None:
            self.stream[1].transport.abort()
            self.stream = None
