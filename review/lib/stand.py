"""Stand-ins for the cases: discovery, servers and clients on loopback, and balancers as processes.

Only the standard library is used. Every address is a loopback address, every port is free.
"""

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not run (exit code 2)."""


class Record:
    """Writes `record.txt` in the folder of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def now(self):
        return time.monotonic() - self.started

    def line(self, text, at=None):
        at = self.now() if at is None else at
        self.file.write(f"{at:9.4f} {text}\n")
        self.file.flush()

    def say(self, text):
        self.line(text)
        print(text, flush=True)


def free_port(kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((HOST, 0))
        return probe.getsockname()[1]


async def read_message(reader):
    """Reads one HTTP/1.1 message: first line, fields (names in lower case), body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in fields:
        body = await reader.readexactly(int(fields["content-length"]))
    return lines[0], fields, body


def response(status, body=b"", fields=()):
    reason = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}.get(status, "Status")
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    return head.encode() + b"\r\n" + body


class Listener:
    """A listener on a free loopback port that serves connections with `serve(reader, writer)`."""

    def __init__(self):
        self.server = None
        self.port = 0
        self.open = set()

    async def start(self):
        self.server = await asyncio.start_server(self._connected, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"{HOST}:{self.port}"

    async def _connected(self, reader, writer):
        self.open.add(writer)
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()


class Discovery(Listener):
    """Discovery: the complete list, and watches that wait for changes."""

    def __init__(self, record, name="discovery", version=1):
        super().__init__()
        self.record = record
        self.name = name
        self.version = version
        self.entries = {}
        self.changed_at = {}
        self.changed = asyncio.Event()

    def set(self, uid, address, state="active", cell=0, zone="a"):
        self.version += 1
        self.entries[uid] = {
            "uid": uid, "endpoint": address, "az": zone, "model": "m", "pod_group": cell,
            "state": state, "capacity_hint": 1.0, "boot_ms": 0,
        }
        self.changed_at[uid] = self.version
        self.record.line(f"{self.name}: version {self.version}, {uid} at {address} is {state}")
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer):
        while True:
            line, _, _ = await read_message(reader)
            target = line.split(" ")[1]
            query = dict(p.split("=", 1) for p in target.partition("?")[2].split("&") if "=" in p)
            since = query.get("since")
            if since is not None and int(since) >= self.version:
                wait = min(int(query.get("timeout_ms", "0")), 60_000) / 1000
                try:
                    await asyncio.wait_for(self.changed.wait(), wait)
                except asyncio.TimeoutError:
                    pass
            complete = since is None or int(since) > self.version
            after = -1 if complete else int(since)
            targets = [self.entries[uid] for uid, at in self.changed_at.items() if at > after
                       and not (complete and self.entries[uid]["state"] == "left")]
            body = json.dumps({"rev": self.version, "all": complete, "targets": targets}).encode()
            writer.write(response(200, body, [("Content-Type", "application/json")]))
            await writer.drain()


class Server(Listener):
    """An HTTP server. `handle(server, fields, line, body, writer)` returns the bytes to answer, or
    None if the connection has to be closed."""

    def __init__(self, record, name, handle):
        super().__init__()
        self.record = record
        self.name = name
        self.handle = handle

    async def serve(self, reader, writer):
        while True:
            line, fields, body = await read_message(reader)
            answer = await self.handle(self, fields, line, body, writer)
            if answer is None:
                return
            writer.write(answer)
            await writer.drain()


def settings(classes, zones=("a",), balancers=1, index=0, caps=None, rules=None):
    """Settings of a small deployment, with the figures of `settat-main` where they do not matter."""
    result = {
        "fleetSize": balancers, "me": index, "zone": 0, "registryMode": "ask",
        "weightKind": "off", "dcs": list(zones), "kinds": ["m"],
        "report": {"source": "off", "columns": []},
        "caps": {"cancel": True, "secondCopies": False, "maxDispatches": 5, "retryAfter": True,
                 "maxRetryAfterUs": 1_200_000, "connIdleUs": 15_000_000,
                 "connectTimeoutUs": 250_000, "probes": False, "peers": False},
        "rules": {"askWithinUs": 10_000_000, "coldFrom": 0.3, "warmUpUs": 8_800_000,
                  "tipMultiple": 3.0, "fallUs": 1_000_000, "drainGraceUs": 400_000,
                  "answerSlackUs": 20_000},
        "useCases": list(classes),
    }
    result["caps"].update(caps or {})
    result["rules"].update(rules or {})
    return result


class Balancer:
    """A balancer, started by `run` of the deploy file."""

    def __init__(self, folder, record, name, discovery, settings, operator=None):
        self.record = record
        self.name = name
        self.port = free_port()
        self.folder = Path(folder)
        self.config_file = self.folder / f"{name}.json"
        self.operator = operator
        self.config = {
            "name": name, "listen": f"{HOST}:{self.port}", "discovery": discovery,
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "settings": settings,
        }
        self.process = None
        self.write_config()

    def write_config(self):
        text = json.dumps(self.config)
        new = self.config_file.with_suffix(".new")
        new.write_text(text)
        new.replace(self.config_file)

    async def start(self):
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        command = deploy["run"]
        if self.operator:
            command += f" --operator {self.operator}"
        env = {key: value for key, value in os.environ.items() if not key.startswith("BALANCER_")}
        env["BALANCER_CONFIG"] = str(self.config_file)
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
            stdout=log, stderr=log, start_new_session=True)
        log.close()
        self.record.line(f"{self.name}: started as process, listens on port {self.port}")

    async def ready(self, within=15):
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended at its start")
            try:
                status, _ = await get(self.port, "/health/ready")
                if status == 200:
                    return
            except (OSError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} did not become ready")

    def signal(self, number):
        self.record.line(f"{self.name}: gets {signal.Signals(number).name}")
        os.kill(self.process.pid, number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            try:
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            except ProcessLookupError:
                pass
            await self.process.wait()

    def log_lines(self):
        return (self.folder / f"{self.name}.log").read_text(errors="replace").splitlines()


class Connection:
    """A client's connection to a balancer."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, port):
        reader, writer = await asyncio.open_connection(HOST, port)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return cls(reader, writer)

    def send(self, text):
        self.writer.write(text)

    async def answer(self, within=10):
        line, fields, body = await asyncio.wait_for(read_message(self.reader), within)
        return int(line.split(" ")[1]), fields, body

    def close(self):
        self.writer.close()


async def get(port, path):
    connection = await Connection.open(port)
    try:
        connection.send(f"GET {path} HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n".encode())
        status, _, body = await connection.answer(2)
        return status, body
    finally:
        connection.close()


def request(method, path, txn, remaining_ms, fields=(), body=None):
    lane = path.strip("/").split("/")[0]
    head = f"{method} {path} HTTP/1.1\r\nHost: app.svc\r\nX-Txn: {txn}\r\nX-Lane: {lane}\r\n"
    head += f"X-Remaining-Ms: {remaining_ms}\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in fields)
    if body is not None:
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + (body or b"")


def run(case, folder):
    """Runs a case: `case(record, folder_for_files)` returns True if the rule held."""
    record = Record(folder)

    async def limited():
        with tempfile.TemporaryDirectory(prefix="pinefront-review-") as files:
            balancers = []
            try:
                return await asyncio.wait_for(case(record, Path(files), balancers), 110)
            finally:
                for balancer in balancers:
                    await balancer.stop()
                    for line in balancer.log_lines()[-200:]:
                        record.file.write(f"          log of {balancer.name}: {line}\n")

    def on_term(*_):
        raise KeyboardInterrupt

    signal.signal(signal.SIGTERM, on_term)
    record.line(f"trouble: {'on' if TROUBLE else 'off'}")
    try:
        held = asyncio.run(limited())
    except CannotRun as problem:
        record.say(f"could not run: {problem}")
        sys.exit(2)
    except (Exception, KeyboardInterrupt) as problem:  # noqa: BLE001
        record.say(f"could not run: {type(problem).__name__}: {problem}")
        sys.exit(2)
    record.say("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
