"""Stand-ins of the platform's store, of replicas and of callers, and the processes of the daemon.

Only the standard library is used. Everything listens on loopback addresses.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
DAEMON = os.path.join(ROOT, "target", "release", "pollentallyd")
FRONT_PORT, READY_PORT, CONTROL_PORT = 8226, 8227, 8224
INTERNAL_PORTS = [7740, 7755]
ZONES = {"kochi-fort": "kochi", "kollam-port": "kollam", "kozhikode-beach": "kozhikode"}
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "settleWindowMs": 5000, "ackMs": 6000, "catchUpS": 4,
    "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "downgradeMs": 250,
    "skewMaxMs": 15000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56,
    "recoverS": 12,
}


# The answer is sent a second time.
LATE_COPY = "late copy"


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """What was sent, answered and run, in the order of time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        """Seconds since the start of the case."""
        return time.monotonic() - self.start

    def write(self, text, at=None):
        """Writes a line."""
        at = self.now() if at is None else at
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{at:9.3f} {text}\n")
                self.file.flush()

    def close(self):
        """Closes the file."""
        with self.lock:
            self.file.close()


def read_message(reader):
    """Reads one HTTP message; returns its first line, headers and body, or None at the end."""
    line = reader.readline()
    if not line or not line.strip():
        return None
    headers = {}
    while True:
        field = reader.readline()
        if field in (b"\r\n", b"\n", b""):
            break
        name, _, value = field.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = reader.read(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int(reader.readline().split(b";")[0], 16)
            body += reader.read(size)
            reader.readline()
            if size == 0:
                break
    return line.decode("latin-1").strip(), headers, body


def format_message(line, headers, body):
    """The bytes of an HTTP message."""
    text = line + "\r\n"
    for name, value in headers:
        text += f"{name}: {value}\r\n"
    return (text + f"Content-Length: {len(body)}\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """A server that answers one request after the other on each connection.

    `answer(method, target, headers, body, stream)` returns status, headers and body, or None to close the
    connection. With LATE_COPY as a fourth value, a second copy of the answer follows late, where the answer
    to the next request on the connection is expected. `is_cut(port, own_port)` tells whether the client at a port is cut off from the server.
    """

    def __init__(self, answer, address=("127.0.0.1", 0), is_cut=None):
        self.answer = answer
        self.is_cut = is_cut
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind(address)
        self.listener.listen(128)
        self.address = self.listener.getsockname()
        self.closed = False
        self.streams = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while not self.closed:
            try:
                stream, peer = self.listener.accept()
            except OSError:
                return
            self.streams.add(stream)
            threading.Thread(target=self.serve, args=(stream, peer), daemon=True).start()

    def serve(self, stream, peer):
        stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = stream.makefile("rb")
        late_copy = b""
        try:
            while True:
                message = read_message(reader)
                if message is None:
                    return
                if self.is_cut is not None and self.is_cut(peer[1], self.address[1]):
                    # The connection stays open and carries nothing, as behind a partition.
                    while not self.closed:
                        time.sleep(0.2)
                    return
                if late_copy:
                    stream.sendall(late_copy)
                    late_copy = b""
                line, headers, body = message
                method, target, _ = line.split(" ", 2)
                reply = self.answer(method, target, headers, body, stream)
                if reply is None:
                    return
                status, fields, body = reply[:3]
                answer = format_message(f"HTTP/1.1 {status} X", fields, body)
                stream.sendall(answer)
                if reply[3:] == (LATE_COPY,):
                    late_copy = answer
        except (OSError, ValueError):
            pass
        finally:
            self.streams.discard(stream)
            try:
                reader.close()
                stream.close()
            except OSError:
                pass

    def close(self):
        """Closes the listener and all connections, as the end of a process does."""
        self.closed = True
        self.listener.close()
        for stream in list(self.streams):
            try:
                stream.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store:
    """The platform's store. `may_cut(waited)` decides whether a watch that has waited for so long is cut."""

    def __init__(self, record, may_cut=None):
        self.record = record
        self.may_cut = may_cut
        self.changed = threading.Condition()
        self.revision = 1000
        self.items = {}
        self.changes = []
        self.last_lease = 0
        self.server = HttpServer(self.answer)
        self.address = "%s:%d" % self.server.address[:2]

    def put(self, key, value):
        """Writes an item; returns when it was acknowledged."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self.changed:
            self.write(key, data)
            return self.record.now()

    def remove(self, key):
        """Removes an item; returns when that was acknowledged."""
        with self.changed:
            self.write(key, None)
            return self.record.now()

    def write(self, key, data):
        self.revision += 1
        if data is None:
            self.items.pop(key, None)
        else:
            created = self.items.get(key, (0, self.revision))[1]
            self.items[key] = (self.revision, created, data)
        self.changes.append((self.revision, key, data))
        self.changed.notify_all()

    def item(self, key):
        revision, created, data = self.items[key]
        value = base64.b64encode(data).decode()
        return {"key": key, "value": value, "rev": revision, "created": created, "lease": 0}

    def reply(self, status, body):
        fields = [("Content-Type", "application/json"), ("Store-Era", "1")]
        return status, fields, json.dumps(body).encode()

    def answer(self, method, target, _headers, body, _stream):
        self.record.write(f"store    {method} {target}")
        url = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/api/kv-watch":
            return self.watch(query)
        with self.changed:
            if url.path == "/api/kv-key":
                key = query.get("key", "")
                if key not in self.items:
                    return self.reply(404, {})
                return self.reply(200, {**self.item(key), "asOf": self.revision})
            if url.path == "/api/kv-range":
                prefix, after = query.get("prefix", ""), query.get("after", "")
                return self.reply(200, self.page(prefix, after))
            if url.path == "/api/kv-txn" and method == "POST":
                return self.transact(json.loads(body or b"{}"))
            if url.path == "/api/kv-lease":
                self.last_lease += 1
                return self.reply(200, {"lease": self.last_lease, "ttlMs": 5000})
            if url.path.startswith("/api/kv-keep/"):
                return self.reply(200, {})
        return self.reply(404, {})

    def page(self, prefix, after):
        """Items after a key: at most 500, and no further one once they have 1 MB."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in keys[:500]:
            items.append(self.item(key))
            size += len(self.items[key][2])
            if size >= 1_000_000:
                break
        return {"items": items, "hasMore": len(keys) > len(items), "asOf": self.revision}

    def transact(self, call):
        for row in call.get("expect", []):
            known = self.items.get(row["key"])
            if (known[0] if known else 0) != row["rev"]:
                rows = [self.item(r["key"]) for r in call["expect"] if r["key"] in self.items]
                return self.reply(412, {"items": rows})
        for row in call.get("puts", []):
            self.write(row["key"], base64.b64decode(row["value"]))
        for key in call.get("deletes", []):
            self.write(key if isinstance(key, str) else key["key"], None)
        return self.reply(200, {"rev": self.revision})

    def watch(self, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", "0"))
        start = time.monotonic()
        end = start + min(int(float(query.get("waitMs", "0"))), 30_000) / 1000
        with self.changed:
            while True:
                found = [c for c in self.changes if c[0] > after and c[1].startswith(prefix)]
                now = time.monotonic()
                if found or now >= end:
                    break
                if self.may_cut is not None and self.may_cut(now - start):
                    return None
                self.changed.wait(min(0.01, end - now))
            events = []
            for revision, key, data in found:
                if data is None:
                    events.append({"key": key, "rev": revision, "tombstone": True})
                else:
                    value = base64.b64encode(data).decode()
                    events.append({"key": key, "rev": revision, "value": value,
                                   "created": revision, "lease": 0})
            return self.reply(200, {"events": events, "asOf": self.revision})


class Replica:
    """A replica of a service, which registers itself in the store and beats."""

    def __init__(self, record, store, service, name, zone, work=0.005, slots=4, is_cut=None):
        self.record, self.store = record, store
        self.service, self.name, self.zone = service, name, zone
        self.work, self.slots = work, slots
        self.room = threading.Semaphore(slots)
        self.state = "ready"
        self.registered = True
        self.runs = []
        self.headers = []
        self.is_full = None
        self.copy_share = 0.0
        self.answers = self.copies = 0
        self.beats = 0
        self.born = int(time.time() * 1000)
        self.server = HttpServer(self.answer, is_cut=is_cut)
        self.address = "%s:%d" % self.server.address[:2]
        self.register()

    def register(self):
        """Writes the registration; returns when it was acknowledged."""
        self.beats += 1
        return self.store.put(f"servers/{self.name}", {
            "service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
            "slots": self.slots, "state": self.state, "coldLeftMs": 0, "seq": self.beats,
            "born": self.born,
        })

    def start_beats(self, first, interval=1.2):
        """Renews the registration at each interval, as long as there is one."""
        def beat():
            at = first
            while True:
                time.sleep(max(0.0, at - self.record.now()))
                if not self.registered:
                    return
                self.register()
                at += interval
        threading.Thread(target=beat, daemon=True).start()

    def unregister(self):
        """Removes the registration, as a replica does that leaves without a word."""
        self.registered = False
        return self.store.remove(f"servers/{self.name}")

    def drain(self):
        """Reports that it leaves."""
        self.state = "draining"
        return self.register()

    def answer(self, method, target, headers, body, _stream):
        request = headers.get("request-id", "")
        fields = [("Request-Id", request)] + list(self.headers)
        if target == "/health":
            return 200, [("Instance-Id", self.name)], b""
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            return 421, fields + [("Not-Executed", "1")], b""
        if self.is_full is not None and self.is_full():
            self.record.write(f"rejects  {request} at {self.name}: full")
            return self.maybe_twice((503, fields + [("Not-Executed", "1")], b""))
        with self.room:
            at = self.record.now()
            self.runs.append((at, request, method, target, body))
            self.record.write(f"runs     {request} at {self.name} of {self.service}", at)
            time.sleep(self.work)
        stamp = f"{self.name}.{request}"
        fields.append(("Server-Stamp", stamp))
        return self.maybe_twice((200, fields, f"{self.service} {request}".encode()))

    def maybe_twice(self, reply):
        """The reply, in a share of the cases with a second copy."""
        self.answers += 1
        if random.random() >= self.copy_share:
            return reply
        self.copies += 1
        self.record.write(f"repeats  {self.name} will send the answer {reply[0]} to {reply[1][0][1]} again")
        return reply + (LATE_COPY,)

    def stop(self):
        """Ends the replica."""
        self.registered = False
        self.server.close()


class LinkCut:
    """Cuts processes off from the servers that ask it, by the owner of each connection."""

    # The processes that may own one.
    candidates = []

    def __init__(self):
        self.pids = []
        self.known = {}
        self.lock = threading.Lock()

    def is_cut(self, port, own_port):
        """Whether the connection from `port` to `own_port` belongs to a process that is cut off."""
        with self.lock:
            pids = list(self.pids)
            if not pids:
                return False
            owner = self.known.get((port, own_port))
            if owner is None:
                owner = self.known[port, own_port] = socket_owner(port, own_port)
        return owner in map(str, pids)


def socket_owner(port, own_port):
    """The process that has the client's end of a connection; an empty text if it is not found."""
    wanted = (f":{port:04X}", f":{own_port:04X}")
    inode = None
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1].endswith(wanted[0]) and fields[2].endswith(wanted[1]):
                inode = fields[9]
                break
    if inode is None:
        return ""
    for pid in LinkCut.candidates:
        try:
            for name in os.listdir(f"/proc/{pid}/fd"):
                if os.readlink(f"/proc/{pid}/fd/{name}") == f"socket:[{inode}]":
                    return str(pid)
        except OSError:
            continue
    return ""


class Daemon:
    """A daemon process on a loopback address of its own."""

    def __init__(self, case, name, zone, ip, seeds, bootstrap=True):
        self.case, self.name, self.zone, self.ip = case, name, zone, ip
        self.folder = tempfile.mkdtemp(prefix=f"{name}-", dir=case.folder)
        boot = {
            "node": name, "role": "query", "machineClass": "front", "serves": ["front", "control"],
            "ip": ip, "zone": zone, "region": ZONES[zone], "zones": ZONES,
            "listen": {"front": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}",
                       "control": f"{ip}:{CONTROL_PORT}"},
            "internalPortRange": INTERNAL_PORTS,
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in seeds], "bootstrap": bootstrap,
            "lossCounts": False,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": 260, "maxFds": 4100,
                       "linkMbps": 1000.0, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "beatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "scatter",
                          "platform"],
            "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": case.store.address, "form": "kv", "writesPerS": 400,
                         "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576,
                         "ttlMinMs": 1000},
        }
        self.boot = os.path.join(self.folder, "boot.json")
        with open(self.boot, "w", encoding="utf-8") as file:
            json.dump(boot, file)
        self.process = None
        self.start()

    def start(self):
        """Starts the process, with the command of the deploy file."""
        log = open(os.path.join(self.folder, "log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "POLLENTALLY_SETTINGS": self.boot}
        self.process = subprocess.Popen(
            [DAEMON, "--platform", self.boot], stdout=log, stderr=log, cwd=ROOT, env=environment)
        log.close()
        LinkCut.candidates.append(self.process.pid)

    @property
    def pid(self):
        return self.process.pid

    def log(self):
        """The lines of its log."""
        with open(os.path.join(self.folder, "log"), encoding="utf-8", errors="replace") as file:
            return file.read().splitlines()

    def is_ready(self):
        """Whether the readiness check answers 200."""
        try:
            return ask((self.ip, READY_PORT), "GET", "/api/ready", [], b"", 1.0)[0] == 200
        except OSError:
            return False

    def metrics(self):
        """The text of its metrics."""
        try:
            return ask((self.ip, 9464), "GET", "/metrics", [], b"", 1.0)[2].decode()
        except OSError:
            return ""

    def restart(self):
        """Kills the process and starts it again, as the platform does."""
        self.signal(signal.SIGKILL)
        self.process.wait()
        time.sleep(0.3)
        self.start()

    def signal(self, number):
        """Sends a signal, if the process still runs."""
        if self.process.poll() is None:
            self.process.send_signal(number)


def ask(address, method, target, headers, body, timeout):
    """Sends one request on a new connection; returns status, headers and body."""
    with socket.create_connection(address, timeout=min(timeout, 1.0)) as stream:
        stream.settimeout(timeout)
        fields = [("Host", "review.example")] + headers
        stream.sendall(format_message(f"{method} {target} HTTP/1.1", fields, body))
        message = read_message(stream.makefile("rb"))
    if message is None:
        raise ConnectionError("closed without an answer")
    line, fields, body = message
    return int(line.split(" ")[1]), fields, body


class Case:
    """A store, replicas and daemons; ends all that it started."""

    def __init__(self, may_cut=None):
        script = os.path.abspath(sys.argv[0])
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.path.dirname(script))
        self.folder = tempfile.mkdtemp(prefix="pollentally-review-")
        self.store = Store(self.record, may_cut)
        self.daemons, self.replicas = [], []
        # An address of its own for each daemon, away from those of other runs.
        self.subnet = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self.requests = 0
        self.lock = threading.Lock()
        if not os.access(DAEMON, os.X_OK):
            raise CannotRun("the daemon is not built")

    def configure(self, version, routes, services):
        """Writes a configuration; returns when it was acknowledged. A route is (prefix, kind, target)."""
        rows = []
        for prefix, kind, target in routes:
            row = {"name": "route" + prefix.replace("/", "-"), "host": "review.example",
                   "prefix": prefix, "type": kind, "timeoutMs": 3000, "targetLatencyMs": 300,
                   "priority": 1, "maxAttempts": 2}
            rows.append({**row, **target})
        at = self.store.put("op/config", {
            "version": version, "routes": rows,
            "services": [{"name": name, "healthPath": "/health", "maxConns": 110}
                         for name in services],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
                       "idleTimeoutMs": 15000},
        })
        self.record.write(f"operator version {version} acknowledged: {json.dumps(routes)}", at)
        return at

    def add_replica(self, *arguments, **options):
        """Starts a replica."""
        replica = Replica(self.record, self.store, *arguments, **options)
        self.replicas.append(replica)
        return replica

    def add_daemon(self, name, zone, bootstrap=True):
        """Starts a daemon; `bootstrap` unless it replaces another one."""
        number = len(self.daemons) + 1
        seeds = [f"{self.subnet}.{index}" for index in (1, 2, 3)]
        daemon = Daemon(self, name, zone, f"{self.subnet}.{number}", seeds, bootstrap)
        self.daemons.append(daemon)
        return daemon

    def wait_until_ready(self, timeout=20.0):
        """Waits until all daemons are ready and know each other."""
        end = time.monotonic() + timeout
        known = f"pollentally_forward_daemons {len(self.daemons)}"
        while time.monotonic() < end:
            ready = all(daemon.is_ready() for daemon in self.daemons)
            if ready and (len(self.daemons) == 1
                          or all(known in daemon.metrics() for daemon in self.daemons)):
                return
            time.sleep(0.1)
        raise CannotRun("the daemons did not become ready")

    def send(self, daemon, method, path, body=b"", deadline_ms=3000, caller="c", headers=()):
        """Sends a request as a caller; returns its id, when it was sent, and the status (0: no answer)."""
        with self.lock:
            self.requests += 1
            request = f"{caller}{self.requests:06d}"
        headers = [("Request-Id", request), ("Deadline-Remaining", str(deadline_ms)), *headers]
        sent_at = self.record.now()
        try:
            status, fields, answer = ask(
                (daemon.ip, FRONT_PORT), method, path, headers, body, deadline_ms / 1000 + 0.5)
        except OSError:
            status, fields, answer = 0, {}, b""
        self.record.write(f"request  {request} {method} {path} to {daemon.name} "
                          f"sent at {sent_at:.3f}: {status} {answer[:40]!r}")
        return request, sent_at, status, fields, answer

    def close(self):
        """Ends the processes that the case started."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGCONT)
            daemon.signal(signal.SIGKILL)
            daemon.process.wait()
        for replica in self.replicas:
            replica.stop()
        self.store.server.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(body, may_cut=None):
    """Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

    `body(case)` returns the lines that say how the rule was broken.
    """
    case = None

    def give_up(_number, _frame):
        raise CannotRun("it was ended from outside")

    signal.signal(signal.SIGTERM, give_up)
    signal.signal(signal.SIGINT, give_up)
    try:
        case = Case(may_cut)
        broken = body(case)
        for line in broken[:50]:
            case.record.write(f"BROKEN   {line}")
        outcome = f"the rule was broken {len(broken)} times" if broken else "the rule held"
        case.record.write(outcome)
        print(outcome)
        code = 1 if broken else 0
    except CannotRun as error:
        print(f"the case could not run: {error}")
        code = 2
    except Exception as error:  # A fault of the script itself must not count as a broken rule.
        print(f"the case could not run: {type(error).__name__}: {error}")
        code = 2
    finally:
        if case is not None:
            case.close()
    sys.stdout.flush()
    os._exit(code)
