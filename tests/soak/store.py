"""Stand-in for the platform's store: items with revisions, leases, watches and
transactions, and the faults of the real one."""

import asyncio
import base64
import json
import time

from wire import Reset, Silence, serve

PAGE_ITEMS = 500
VALUE_BYTES = 1_048_576  # of a value at most
KEY_BYTES = 200
MAX_ENTRIES = 32  # of a transaction: conditions, puts and removals
TICK_S = 0.05


class Store:
    def __init__(self, draw):
        self.draw = draw
        self.revision = 0
        self.items = {}
        self.history = []  # (revision, event)
        self.compacted_revision = 0  # history up to here is discarded
        self.leases = {}  # id: [ttl_ms, expires at]
        self.max_ttl_ms = 600_000
        self.changed = asyncio.Event()
        # Set by the soak and the drills.
        self.lose_answers_below = None  # key prefix; see loses_answer()
        self.lost_keys = set()
        self.recorded_calls = None  # list of (path, prefix), if recording
        self.outage = None  # None, "silent", "busy" or "reset"
        self.delay_s = 0.0
        self.lost_share = 0.0
        self.late_share = 0.0
        self.calls = 0
        self.rejected = 0  # transactions beyond the limits
        self.takeovers = 0  # times that an entry became leader

    async def start(self, address, port):
        self.server = await serve(address, port, self.handle)
        self.ticker = asyncio.create_task(self.tick())

    async def tick(self):
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            for lease, (_, expires_at) in list(self.leases.items()):
                if now >= expires_at and self.outage is None:
                    self.end_lease(lease)

    # -- the data ------------------------------------------------------------

    def write(self, puts, removals):
        self.revision += 1
        for put in puts:
            key = put["tls_key"]
            self.takeovers += key == "springstair/holder"
            old = self.items.get(key)
            item = {"tls_key": key, "value": put["value"],
                    "revision": self.revision,
                    "made": old["made"] if old else self.revision,
                    "lease": put.get("lease", 0)}
            self.items[key] = item
            self.history.append((self.revision, item))
        for key in removals:
            if self.items.pop(key, None):
                self.history.append(
                    (self.revision, {"tls_key": key, "gone": True,
                                     "revision": self.revision}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def end_lease(self, lease):
        if self.leases.pop(lease, None):
            keys = [key for key, item in self.items.items()
                    if item["lease"] == lease]
            if keys:
                self.write([], keys)

    def compact_history(self):
        self.compacted_revision = self.revision
        self.history.clear()

    def configure(self, document):
        """Writes the operator's configuration; faults do not affect it."""
        text = base64.b64encode(json.dumps(document).encode()).decode()
        self.write([{"tls_key": "op/config", "value": text}], [])

    def close(self, zone):
        """Closes a zone, as the operator does: no run may start there."""
        self.write([{"tls_key": f"op/evacuate/{zone}",
                     "value": base64.b64encode(b"{}").decode()}], [])

    def open(self, zone):
        self.write([], [f"op/evacuate/{zone}"])

    @staticmethod
    def text(item):
        """The decoded value of an item; empty without an item."""
        return base64.b64decode(item["value"]).decode() if item else ""

    def revoke(self, prefix):
        """Removes leased keys at once; their leases stay valid."""
        keys = [key for key, item in self.items.items()
                if key.startswith(prefix) and item["lease"]]
        if keys:
            self.write([], keys)

    # -- calls ---------------------------------------------------------------

    async def handle(self, method, path, query, _headers, document):
        self.calls += 1
        if self.recorded_calls is not None:
            self.recorded_calls.append((path, query.get("path_prefix", "")))
        if self.refuses():
            return 503, {}
        await asyncio.sleep(0.002 + self.delay_s)
        name = path.removeprefix("/springstair/")
        if name == "kv-txn":
            return await self.transact(document)
        if name == "kv-key":
            item = self.items.get(query["tls_key"])
            return (200, item | {"at": self.revision}) if item else (404, {})
        if name == "kv-range":
            return self.range(query)
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-lease":
            lease = 1000 + self.calls
            ttl = document["ttl_ms"]
            ttl = min(ttl, self.max_ttl_ms)
            self.leases[lease] = [ttl, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl_ms": ttl}
        verb, _, text = name.partition("/")
        lease = int(text)
        if lease not in self.leases:
            return 404, {}
        if verb == "kv-keep":
            ttl = self.leases[lease][0]
            self.leases[lease][1] = time.monotonic() + ttl / 1000
            return 200, {"ttl_ms": ttl}
        self.end_lease(lease)
        return 200, {}

    def refuses(self):
        if self.outage == "silent":
            raise Silence
        if self.outage == "reset":
            raise Reset
        return self.outage == "busy"

    def exceeds_limits(self, document):
        puts = document.get("put", [])
        keys = [row["tls_key"] for row in puts + document.get(
            "expected_rev", [])] + document.get("remove", [])
        return (len(keys) > MAX_ENTRIES
                or any(len(key.encode()) > KEY_BYTES for key in keys)
                or any(len(base64.b64decode(put["value"])) > VALUE_BYTES
                       for put in puts))

    async def transact(self, document):
        if self.exceeds_limits(document):
            self.rejected += 1
            return 400, {}
        if self.draw.random() < self.late_share:
            asyncio.get_running_loop().call_later(
                self.draw.uniform(1, 4), self.apply, document)
            raise Silence
        answer = self.apply(document)
        if self.draw.random() < self.lost_share:
            raise Silence
        if self.loses_answer(document):
            raise Silence
        return answer

    def loses_answer(self, document):
        """Whether the answer to a write is lost. If lose_answers_below is set,
        the first answer for each key with that prefix is lost."""
        for put in document.get("put", []):
            key = put["tls_key"]
            if self.lose_answers_below \
                    and key.startswith(self.lose_answers_below) \
                    and key not in self.lost_keys:
                self.lost_keys.add(key)
                return True
        return False

    def apply(self, document):
        keys = {row["tls_key"]: row["revision"]
                for row in document.get("expected_rev", [])}
        found = {key: self.items.get(key, {"tls_key": key, "revision": 0})
                 for key in keys}
        if any(found[key]["revision"] != keys[key] for key in keys):
            return 412, {"items": list(found.values())}
        puts = document.get("put", [])
        if any(put.get("lease", 0) and put["lease"] not in self.leases
               for put in puts):
            return 404, {}
        return 200, {"revision": self.write(puts, document.get("remove", []))}

    def range(self, query):
        after = query.get("depends_on", "")
        keys = sorted(key for key in self.items
                      if key.startswith(query["path_prefix"]) and key > after)
        page = [self.items[key] for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "more": len(keys) > PAGE_ITEMS,
                     "at": self.revision}

    async def watch(self, query):
        since = int(query["depends_on"])
        until = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if since < self.compacted_revision:
                return 410, {}
            events = [event for revision, event in self.history
                      if revision > since
                      and event["tls_key"].startswith(query["path_prefix"])]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass
            if self.refuses():
                return 503, {}
