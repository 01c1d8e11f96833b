"""Stand-ins for the review's cases: journal service, call servers, clients, and the platform that starts access
nodes with the `run` command of the deploy file. Standard library only; every address is in 127.0.0.0/8.

The messages follow the operators' protocol page. Where the page is silent, the stand-ins behave like sound peers.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CRLF = "\r\n"


class CannotRun(Exception):
    """The case could not be played: exit code 2."""


class Record:
    """Writes what was sent, answered and run to record.txt, with seconds since the start and Unix milliseconds."""

    def __init__(self, path):
        self.start = time.time()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, who, text):
        now = time.time()
        self.file.write(f"{now - self.start:8.3f} {int(now * 1000)} {who}: {text}\n")
        self.file.flush()


# ---- SIP on a stream ----


class Message:
    def __init__(self, first, headers, body):
        self.first, self.headers, self.body = first, headers, body

    @property
    def code(self):
        parts = self.first.split(" ")
        return int(parts[1]) if parts[0] == "SIP/2.0" else None

    @property
    def method(self):
        return None if self.code is not None else self.first.split(" ")[0]

    def get(self, name):
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")

    @property
    def id(self):
        return self.get("Call-ID")

    @property
    def cseq_method(self):
        return self.get("CSeq").split(" ")[-1]


def build(first, headers, body=b""):
    lines = [first] + [f"{name}: {value}" for name, value in headers] + [f"Content-Length: {len(body)}"]
    return (CRLF.join(lines) + CRLF + CRLF).encode() + body


def request(method, uri, call, headers=(), body=b""):
    base = [("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", f"1 {method}")]
    return build(f"{method} {uri} SIP/2.0", base + list(headers), body)


def response(code, to, headers=(), body=b""):
    names = {200: "OK", 487: "Request Terminated", 503: "Service Unavailable"}
    base = [(name, to.get(name)) for name in ("Via", "From", "To", "Call-ID", "CSeq") if to.get(name)]
    return build(f"SIP/2.0 {code} {names.get(code, 'No')}", base + list(headers), body)


async def read_message(reader):
    """Returns the next message, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").strip("\r\n").split(CRLF)
        headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]
        message = Message(lines[0], headers, b"")
        length = int(message.get("Content-Length") or 0)
        message.body = await reader.readexactly(length) if length else b""
        return message
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None


def new_id():
    return f"{random.getrandbits(64):016x}"


def description(lines=()):
    """A description in the form of the protocol page, with a name of its own."""
    text = [new_id(), f"c=IN IP4 127.0.7.{random.randint(1, 250)}", f"m=audio {random.randint(20000, 40000)} RTP/AVP 0 8 101"]
    return "".join(line + CRLF for line in text + list(lines)).encode()


# ---- Call servers ----


class CallServer:
    """A call server: answers set-ups, holds calls, and releases them at their end."""

    def __init__(self, record, name, lines=200, answer_after=0.012, hold=lambda call: 6.0, answer_lines=()):
        self.record, self.name, self.lines = record, name, lines
        self.answer_after, self.hold, self.answer_lines = answer_after, hold, answer_lines
        self.conns = []  # open connections, oldest first
        self.standing = {}  # Call-ID -> connection of its set-up
        self.open = {}  # Call-ID -> task that will answer
        self.untold = {}  # node -> Call-ID -> cause: releases repeated on the next connection that is opened
        self.made = {}  # Call-ID -> descriptions made for that call
        self.answered_at, self.ended_at = {}, {}
        self.ran = []
        self.gone = False  # the machine has vanished
        self.listener = None
        self.tasks = set()
        self.before_answer = None  # called with (server, message, connection) before an answer is made
        self.spoil = None  # called with (server, message, answer bytes); returns the pieces and pauses to write

    async def listen(self, addresses):
        """Listens at one address for each access node, by the node's number, as the platform gives them."""
        self.addresses, self.listeners = [], []
        for slot, (host, port) in enumerate(addresses):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((host, port))
            sock.listen(256)
            sock.setblocking(False)
            self.addresses.append(sock.getsockname())
            self.listeners.append(await asyncio.start_server(
                lambda reader, writer, slot=slot: self.serve(slot, reader, writer), sock=sock))
            self.record(self.name, "listens for n%d at %s:%d" % (slot, *self.addresses[slot]))
        self.spawn(self.tell_state())

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def report(self):
        return f"x0:{self.lines - len(self.standing)};x1:{self.lines};latency_ms:2"

    def write(self, conn, data, what=None):
        if self.gone or conn not in self.conns:
            return False
        if what:
            self.record(self.name, f"sends {what} on connection {conn.number}" + (", lost" if conn.dead else ""))
        if conn.dead:
            return True
        conn.writer.write(data)
        return True

    async def tell_state(self):
        while not self.gone:
            for conn in [c for slot in range(len(self.addresses)) for c in self.of(slot)[:4]]:
                self.write(conn, request("NOTIFY", "sip:state@net", new_id(), [("X-Occupancy", self.report())]))
            await asyncio.sleep(1.0)

    def of(self, slot):
        """The open connections to an access node, oldest first."""
        return [conn for conn in self.conns if conn.slot == slot]

    async def serve(self, slot, reader, writer):
        try:
            await self.serve_connection(slot, reader, writer)
        except asyncio.CancelledError:
            pass  # the case is over

    async def serve_connection(self, slot, reader, writer):
        if self.gone:
            return
        conn = type("Conn", (), {})()
        conn.dead = False  # open for this server, but nothing gets through any more
        CallServer.count = getattr(CallServer, "count", 0) + 1
        conn.number, conn.slot, conn.reader, conn.writer = CallServer.count, slot, reader, writer
        self.conns.append(conn)
        self.record(self.name, f"connection {conn.number} from n{slot} is open")
        self.write(conn, request("NOTIFY", "sip:state@net", new_id(), [("X-Occupancy", self.report())]))
        for call, cause in self.untold.pop(slot, {}).items():
            self.send_release(conn, call, cause)
        while True:
            message = await read_message(reader)
            if self.gone or conn.dead:
                await asyncio.Event().wait()  # the connection stays open and silent
            if message is None:
                break
            self.message(conn, message)
        if conn in self.conns:
            self.conns.remove(conn)
        self.record(self.name, f"connection {conn.number} is closed")
        for call, task in list(self.open.items()):
            if task.conn is conn:
                task.cancel()
                del self.open[call]
        writer.close()

    def message(self, conn, message):
        call = message.id
        if message.method == "INVITE":
            self.record(self.name, f"gets set-up {call} on connection {conn.number}, timer {message.get('X-Timer-Ms')}")
            self.ran.append((time.time(), call))
            task = self.spawn(self.answer(conn, message))
            task.conn = conn
            self.open[call] = task
        elif message.method == "CANCEL":
            self.record(self.name, f"gets CANCEL {call}")
            task = self.open.pop(call, None)
            self.write(conn, response(200, message))
            if task:
                task.cancel()
        elif message.method == "BYE":
            self.record(self.name, f"gets release {call}")
            self.write(conn, response(200, message))
            self.standing.pop(call, None)
        elif message.method == "OPTIONS":
            self.write(conn, response(200, message))

    async def answer(self, conn, message):
        await asyncio.sleep(self.answer_after)
        call = message.id
        if self.before_answer:
            self.before_answer(self, message, conn)
        self.open.pop(call, None)
        body = description(self.answer_lines)
        self.made.setdefault(call, []).append(body)
        data = response(200, message, [("X-Occupancy", self.report())], body)
        pieces = self.spoil(self, message, data, body) if self.spoil else None
        self.standing[call] = conn
        self.answered_at[call] = time.time()
        if pieces is None:
            self.write(conn, data, f"answer 200 to {call}")
        else:
            for pause, piece in pieces:
                await asyncio.sleep(pause)
                self.write(conn, piece, f"{len(piece)} bytes of a spoilt answer to {call}")
        await asyncio.sleep(self.hold(call))
        self.release(call, 16)

    def send_release(self, conn, call, cause):
        data = request("BYE", "sip:call@net", call, [("Reason", f"Q.850;cause={cause}"), ("X-Occupancy", self.report())])
        return self.write(conn, data, f"release {call} cause {cause}")

    def release(self, call, cause):
        """Ends a call: told on the connection of its set-up, otherwise on any open one, and on the next opened."""
        if self.gone or call not in self.standing:
            return
        conn = self.standing.pop(call)
        slot, others = conn.slot, self.of(conn.slot)
        if conn not in self.conns and others:
            conn = others[0]
        self.ended_at[call] = time.time()
        self.record(self.name, f"call {call} ends, cause {cause}")
        self.send_release(conn, call, cause)
        self.untold.setdefault(slot, {})[call] = cause

    def end_process(self):
        """The process ends: its connections are reset, and what stood there is cut."""
        self.record(self.name, "ends; its connections are reset")
        for listener in self.listeners:
            listener.close()
        for conn in list(self.conns):
            if not conn.dead:
                conn.writer.transport.abort()
        self.standing.clear()
        self.stop()

    def stop(self):
        """Ends what this object still does, after its machine was lost."""
        for task in list(self.tasks):
            task.cancel()

    def vanish(self):
        """The machine vanishes: open connections stay open and silent, and new ones never come up."""
        self.gone = True
        self.record(self.name, f"vanishes; standing there: {sorted(self.standing)}")
        self.hole = []
        for listener, address in zip(self.listeners, self.addresses):
            listener.close()
            # New connections never come up: a listener whose queue is full drops what asks for one.
            hole = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            hole.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            hole.bind(address)
            hole.listen(0)
            self.hole.append(hole)
            for _ in range(4):
                filler = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
                filler.setblocking(False)
                filler.connect_ex(address)
                self.hole.append(filler)

    def give_addresses_back(self):
        for sock in reversed(self.hole):
            sock.close()
        self.hole = []


# ---- The journal service ----


class Journal:
    """The journal service; it gives each access node the addresses that are set aside for it."""

    def __init__(self, record):
        self.record, self.events, self.told = record, [], asyncio.Event()

    async def listen(self, count):
        self.addresses, self.servers = [], []
        for slot in range(count):
            server = await asyncio.start_server(
                lambda reader, writer, slot=slot: self.serve(slot, reader, writer), f"127.0.4.{1 + slot}", 0)
            self.servers.append(server)
            self.addresses.append(server.sockets[0].getsockname())

    def add(self, endpoints, snapshot=False):
        self.events.append((endpoints, snapshot))
        self.record("journal", f"event {json.dumps(self.event(len(self.events), 0))}")
        told, self.told = self.told, asyncio.Event()
        told.set()

    def event(self, pos, slot):
        endpoints, snapshot = self.events[pos - 1]
        given = [dict(fields, address="%s:%d" % server.addresses[slot]) for server, fields in endpoints]
        return {"pos": pos, "hosts": {"index": pos, "snapshot": snapshot, "endpoints": given}}

    def known(self, slot):
        return {"pos": len(self.events), "entries": [self.event(1 + at, slot) for at in range(len(self.events))]}

    async def serve(self, slot, reader, writer):
        try:
            line = (await reader.readline()).decode().split()
            if len(line) != 2 or line[0] != "tail":
                return
            pos, beat = int(line[1]), time.time() + 1
            while True:
                while pos < len(self.events):
                    pos += 1
                    writer.write((json.dumps(self.event(pos, slot)) + "\n").encode())
                if time.time() >= beat:
                    writer.write(f"{pos}\n".encode())
                    beat += 1
                await writer.drain()
                try:
                    await asyncio.wait_for(self.told.wait(), max(0.01, beat - time.time()))
                except asyncio.TimeoutError:
                    pass
        except (ConnectionError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def endpoint(server, status="up", group=0, since_ms=0, zone="lisboa"):
    return server, {"name": server.name, "zone": zone, "type": "small-1c", "group": group, "status": status,
                    "weight": 1, "since_ms": since_ms}


# ---- Clients ----


class Client:
    """One connection from callers to an access node; it carries many calls."""

    def __init__(self, record, name="client"):
        self.record, self.name = record, name
        self.calls = {}  # Call-ID -> dict
        self.closed_at = None
        self.tests = {}

    async def connect(self, address):
        self.reader, self.writer = await asyncio.open_connection(*address)
        self.record(self.name, f"connected to {address[0]}:{address[1]}")
        self.task = asyncio.ensure_future(self.read())
        Client.all.append(self)
        return self

    async def read(self):
        while True:
            message = await read_message(self.reader)
            if message is None:
                break
            now, call = time.time(), message.id
            if message.code is not None and message.cseq_method == "INVITE" and message.code >= 200:
                state = self.calls.get(call)
                self.record(self.name, f"gets answer {message.code} to {call}")
                if state is None:
                    continue
                state["answers"].append((now, message.code, message.body))
                self.writer.write(request("ACK", "sip:call@net", call))
                state["answered"].set()
            elif message.code is not None and message.cseq_method == "OPTIONS":
                event = self.tests.pop(call, None)
                if event:
                    event.code = message.code
                    event.set()
            elif message.method == "BYE":
                cause = message.get("Reason")
                self.record(self.name, f"gets release {call} {cause}")
                self.writer.write(response(200, message))
                Client.released.setdefault(call, (now, cause))
        self.closed_at = time.time()
        self.record(self.name, "its connection was closed by the access node")

    all = []
    released = {}  # Call-ID -> (time, Reason), on any connection from callers

    async def test(self):
        call, event = new_id(), asyncio.Event()
        self.tests[call] = event
        self.writer.write(request("OPTIONS", "sip:ping@net", call))
        await asyncio.wait_for(event.wait(), 2)
        return event.code

    def set_up(self, dest, timer_ms=3000, cos="browse"):
        call = new_id()
        self.calls[call] = {"answers": [], "answered": asyncio.Event(), "sent": time.time(), "timer": timer_ms, "dest": dest}
        self.record(self.name, f"sends set-up {call} class {cos} dest {dest} timer {timer_ms}")
        self.writer.write(request("INVITE", f"sip:{new_id()}@net", call,
                                  [("X-Cos", cos), ("X-Timer-Ms", timer_ms), ("X-Legs", f"dest:{dest};width:1;via:-1")],
                                  description()))
        return call

    def name_standing(self, call, server):
        """Names a call that stands at a call server already; no answer is wanted."""
        self.record(self.name, f"names {call} at {server}")
        self.writer.write(request("INVITE", f"sip:{new_id()}@net", call,
                                  [("X-Cos", "browse"), ("X-Timer-Ms", 3000),
                                   ("X-Legs", f"dest:0;width:1;via:-1;at:{server}")], description()))

    async def outcome(self, call):
        """Returns the code of the answer, or None if there was none within the caller's time and half a second."""
        state = self.calls[call]
        try:
            await asyncio.wait_for(state["answered"].wait(), state["timer"] / 1000 + 0.5)
        except asyncio.TimeoutError:
            return None
        return state["answers"][0][1]


# ---- The platform ----


def settings(nodes, slot, pools, zone):
    """Settings in the form of the simulator's first message, with figures of the first deployment."""
    classes = [
        {"aim_us": 1500000, "deadline_us": 9000000, "dedup_window_us": 5000000, "effect": "retryable", "group": "all",
         "late_worth": 0.25, "name": "browse", "stream": True, "worth": 1.0},
        {"aim_us": 1000000, "deadline_us": 6000000, "dedup_window_us": 5000000, "effect": "retryable", "group": "all",
         "late_worth": 0.1, "name": "mark-sold", "stream": True, "worth": 8.0},
    ]
    return {
        "azs": ["lisboa", "porto", "faro"], "balancers": nodes,
        "blend": {"whole": 0.5, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.3},
        "classes": classes, "clients": {"marks_retry": False}, "family": "trunks",
        "family_info": {"advice": False, "allowed_pools": [pools, pools], "call_length_us": [9000000, 7200000],
                        "guard_us": 300000, "home_no": -1, "layout": "groups", "peer_load": "answers",
                        "repeat_us": 400000, "tells_wait": True, "widths": [1, 1]},
        "invariants": {"ask_every_us": 10000000, "cold_from": 0.3, "cold_us": 15000000, "drain_grace_us": 2000000,
                       "fall_us": 1000000, "grace_to_answer_us": 20000, "tip_multiple": 4.0},
        "kinds": ["small-1c"],
        "limits": {"cancelling": True, "conn_idle_us": 600000000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 400000,
                   "dial_timeout_us": 500000, "max_retry_after_us": 2000000, "most_held": 20000, "most_tries": 4,
                   "parallel_tries": False, "peer_messages": True, "probes": False, "retry_after": False,
                   "streams_per_conn": 1048576},
        "membership_mode": "automatic", "over_share_worth": 0.1,
        "prices": {"connection": 0.0, "cross_zone": 0.0, "handshake": 0.0, "late_fail": 0.05, "membership_mode": 0.0,
                   "moves": 0.0, "origin": 0.0, "peer": 0.01, "probe": 0.0, "waste": 0.02},
        "projects": [], "report": {"how": "answers", "names": ["x0", "x1", "latency_ms"]}, "resolution_us": 5000,
        "slot_no": slot, "stage": 0, "tiers": ["listing-pool"], "weights": "none", "worth_by": "request",
        "zone": zone,
    }


def free_port(host, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Node:
    def __init__(self, name, config, folder, record):
        self.name, self.config, self.folder, self.record = name, config, folder, record
        host, port = config["listen"].split(":")
        self.address = (host, int(port))
        self.process = None

    def start(self):
        home = tempfile.mkdtemp(prefix=f"{self.name}-", dir=self.folder)
        path = os.path.join(home, "config.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        command = next(line.split("=", 1)[1].strip().strip('"')
                       for line in open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8")
                       if line.split("=")[0].strip() == "run")
        env = dict(os.environ, BALANCER_NAME=self.name, BALANCER_LISTEN=self.config["listen"], BALANCER_CONFIG=path,
                   TMPDIR=home, LEMONCLEAT_LOG=os.environ.get("LEMONCLEAT_LOG", "info"))
        self.log = open(os.path.join(home, "log"), "wb")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=env, stdout=self.log,
                                        stderr=subprocess.STDOUT, stdin=subprocess.DEVNULL, start_new_session=True)
        self.record(self.name, f"started: {command}")

    async def ready(self):
        until = time.time() + 10
        while time.time() < until:
            if self.process.poll() is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}")
            try:
                client = await Client(self.record, f"front of {self.name}").connect(self.address)
                if await client.test() == 200:
                    client.writer.close()
                    return
            except (ConnectionError, OSError, asyncio.TimeoutError):
                await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready")

    def signal(self, number):
        self.record(self.name, f"gets signal {number}")
        self.process.send_signal(number)

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def tail(self):
        self.log.flush()
        with open(self.log.name, encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()


class Platform:
    """Starts access nodes on loopback addresses, with a folder of its own that is removed at the end."""

    def __init__(self, record):
        self.record, self.nodes = record, []
        self.change_settings = lambda settings: settings
        self.folder = tempfile.mkdtemp(prefix="review-")

    async def start(self, count, journal, pools, zones=("lisboa", "porto")):
        listens = [f"127.0.2.{1 + at}:{free_port(f'127.0.2.{1 + at}')}" for at in range(count)]
        notes = [f"127.0.3.{1 + at}:{free_port(f'127.0.3.{1 + at}', socket.SOCK_DGRAM)}" for at in range(count)]
        for at in range(count):
            config = {
                "name": f"n{at}", "listen": listens[at], "seed": new_id(),
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512},
                "peer_listen": notes[at], "peers": notes, "journal": "%s:%d" % journal.addresses[at],
                "known": journal.known(at),
                "settings": self.change_settings(settings(count, at, pools, zones[at])),
            }
            node = Node(f"n{at}", config, self.folder, self.record)
            node.start()
            self.nodes.append(node)
        for node in self.nodes:
            await node.ready()
        return self.nodes

    def stop(self):
        for node in self.nodes:
            node.stop()
            for line in node.tail():
                self.record(f"log of {node.name}", line)
        shutil.rmtree(self.folder, ignore_errors=True)


def play(folder, case, limit=110):
    """Plays a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    record("case", f"TROUBLE={int(TROUBLE)}")
    platform = Platform(record)

    def ended(*_):
        platform.stop()
        os._exit(2)

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, ended)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record, platform), limit))
        verdict = 1 if broken else 0
        for line in broken or ["the rule held"]:
            record("verdict", line)
            print(line)
    except Exception as error:  # any failure of the stand-ins themselves means that nothing was shown
        verdict = 2
        record("verdict", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        platform.stop()
    sys.exit(verdict)
