"""A small HTTP/1.1 client and server over asyncio streams."""

import asyncio
import json


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Makes one call on a channel of its own.

    Returns (status, parsed body); status 0 if there was no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else json.dumps(body).encode()
            fields = {"Host": address[0], "Content-Type": "application/json",
                      "Content-Length": len(data), **(headers or {})}
            head = "".join(f"{k}: {v}\r\n" for k, v in fields.items())
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + data)
            first, answer_headers = await _read_head(reader)
            data = await reader.readexactly(int(answer_headers.get("content-length", 0)))
        try:
            return int(first.split()[1]), json.loads(data or b"null")
        except ValueError:
            return int(first.split()[1]), None
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.transport.abort()


class Server:
    """Answers with `handle(method, path, headers, body)`: (status, value), or None to close the
    channel without an answer."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()

    async def start(self, host, port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        return self.server.sockets[0].getsockname()[:2]

    def stop(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await _read_head(reader)
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                method, path, _ = first.split(" ", 2)
                answer = await self.handle(method, path, headers, json.loads(data or b"null"))
                if answer is None:
                    break
                data = json.dumps(answer[1]).encode()
                writer.write(f"HTTP/1.1 {answer[0]} x\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.transport.abort()
