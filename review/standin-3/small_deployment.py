"""A small deployment on loopback: the project's packet balancers and agents as
processes, and stand-ins for the store, the servers and the clients.

Needs only Python's standard library. Addresses: 127.x.y.z, one per machine.
"""

import base64
import bisect
import hashlib
import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import socketserver
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback
import urllib.parse

SYN, BOUNCED, RST, ACK, FIN = 1, 8, 16, 32, 128
HEAD = struct.Struct(">IIIHIBB4sHH4s")
KEY = b"the key of the sum"


class Packet:
    def __init__(self, seq, ack, flags, src, sport, dst, dport, data=b""):
        self.seq, self.ack, self.flags, self.data = seq, ack, flags, data
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.echo = self.pad = 0

    def expected_sum(self):
        text = repr((self.seq, self.ack, self.flags & ~BOUNCED, self.src,
                     self.sport, self.dst, self.dport)).encode() + self.data
        digest = hashlib.blake2b(text, key=KEY, digest_size=4).digest()
        return int.from_bytes(digest, "big") | 1

    def encode(self):
        return HEAD.pack(self.echo, self.seq & 0xFFFFFFFF, self.ack & 0xFFFFFFFF,
                         len(self.data), self.expected_sum(), self.flags,
                         self.pad, socket.inet_aton(self.src), self.dport,
                         self.sport, socket.inet_aton(self.dst)) + self.data

    @staticmethod
    def decode(raw):
        (echo, seq, ack, length, total, flags, pad, src, dport, sport,
         dst) = HEAD.unpack(raw[:32])
        packet = Packet(seq, ack, flags, socket.inet_ntoa(src), sport,
                        socket.inet_ntoa(dst), dport, raw[32:])
        packet.echo, packet.pad, packet.sum = echo, pad, total
        packet.is_whole = len(packet.data) == length and total == packet.expected_sum()
        return packet


class Record:
    """The lines of record.txt, with the seconds since the start."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.lock = threading.Lock()
        self.is_finished = False

    def line(self, text, is_last=False):
        with self.lock:
            if not self.is_finished:
                self.file.write("%8.3f  %s\n" % (time.monotonic() - self.start, text))
                self.file.flush()
            self.is_finished = self.is_finished or is_last


class Store:
    """The platform's store: keys, leases, watches; all in memory."""

    def __init__(self, address):
        self.items, self.leases, self.events = {}, {}, []
        self.revision, self.next_lease = 10, 100
        self.changed = threading.Condition()
        # Rises with each restore from the copy.
        self.era, self.copy, self.is_away = 1, None, False
        store = self

        class Handler(socketserver.StreamRequestHandler):
            def handle(self):
                while self.handle_call():
                    pass

            def handle_call(self):
                request = self.rfile.readline().split()
                if len(request) < 2:
                    return False
                length, keep = 0, True
                while True:
                    line = self.rfile.readline().strip().lower()
                    if not line:
                        break
                    if line.startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                    if line.startswith(b"connection:") and b"close" in line:
                        keep = False
                body = json.loads(self.rfile.read(length) or b"{}")
                path, _, query = request[1].decode().partition("?")
                query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
                era = store.era
                status, result = store.call(path, query, body)
                if status is None or (era != store.era and path.endswith("kv-watch")):
                    # The store is away, or was restored while the watch waited.
                    return False
                text = json.dumps(result).encode()
                head = "HTTP/1.1 %d -\r\nContent-Type: application/json\r\nContent-Length: %d\r\nStore-Era: %d\r\n" % (
                    status, len(text), store.era)
                end = "\r\n" if keep else "Connection: close\r\n\r\n"
                self.wfile.write((head + end).encode() + text)
                return keep

        class Server(socketserver.ThreadingTCPServer):
            daemon_threads = True
            allow_reuse_address = True
            request_queue_size = 1024

            def handle_error(self, *_):
                pass

        self.server = Server(address, Handler)
        threading.Thread(target=self.expire, daemon=True).start()

    def put(self, key, value, lease=0):
        self.revision += 1
        created = self.items[key]["create_revision"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision,
                           "create_revision": created, "lease": lease}
        self.events.append(dict(self.items[key]))

    def remove(self, key):
        if self.items.pop(key, None):
            self.revision += 1
            self.events.append({"key": key, "revision": self.revision, "removed": True})

    def restore(self):
        """Comes back from the copy, without leases."""
        with self.changed:
            items, self.revision = json.loads(self.copy[0]), self.copy[1]
            self.items = {key: item for key, item in items.items() if not item["lease"]}
            self.leases, self.events = {}, []
            self.era += 1
            self.is_away = False
            self.changed.notify_all()

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    def expire(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                now = time.monotonic()
                ended = [l for l, (end, _) in self.leases.items() if end < now]
                for lease in ended:
                    self.end_lease(lease)
                if ended:
                    self.changed.notify_all()

    def call(self, path, query, body):
        name = path.rsplit("/bilberrylb/", 1)[-1]
        with self.changed:
            if name == "copy":
                self.copy = (json.dumps(self.items), self.revision)
                return 200, {}
            if name == "restore":
                self.is_away = True
                self.changed.notify_all()
                threading.Timer(body["away_s"], self.restore).start()
                return 200, {}
            if self.is_away:
                return None, {}
            if name == "kv-key":
                item = self.items.get(query["key"])
                return (200, dict(item, as_of=self.revision)) if item else (404, {})
            if name == "kv-range":
                found = [self.items[k] for k in sorted(self.items)
                         if k.startswith(query["prefix"]) and k > query.get("after", "")]
                return 200, {"items": found[:500], "has_more": len(found) > 500,
                             "as_of": self.revision}
            if name == "kv-watch":
                after, prefix = int(query["after"]), query["prefix"]
                if after > self.revision:
                    return 410, {}
                end = time.monotonic() + int(query["wait_ms"]) / 1000
                while True:
                    first = bisect.bisect_right(self.events, after, key=lambda e: e["revision"])
                    found = [e for e in self.events[first:] if e["key"].startswith(prefix)]
                    after = self.revision
                    left = end - time.monotonic()
                    if self.is_away:
                        return None, {}
                    if found or left <= 0:
                        return 200, {"events": found, "as_of": self.revision}
                    self.changed.wait(left)
            if name == "operator":
                if "value" in body:
                    self.put(body["key"], body["value"])
                else:
                    self.remove(body["key"])
                self.changed.notify_all()
                return 200, {}
            if name == "kv-txn":
                rows = body.get("expect", [])
                current = [self.items.get(r["key"], {"key": r["key"], "revision": 0}) for r in rows]
                if any(c["revision"] != r["revision"] for c, r in zip(current, rows)):
                    return 412, {"items": current}
                if any(p.get("lease") and p["lease"] not in self.leases for p in body["puts"]):
                    return 404, {}
                for p in body["puts"]:
                    self.put(p["key"], p["value"], p.get("lease", 0))
                for key in body.get("deletes", []):
                    self.remove(key)
                self.changed.notify_all()
                return 200, {"revision": self.revision}
            if name == "kv-lease":
                self.next_lease += 1
                self.leases[self.next_lease] = (
                    time.monotonic() + body["ttl_ms"] / 1000, body["ttl_ms"])
                return 200, {"lease": self.next_lease, "ttl_ms": body["ttl_ms"]}
            if name.startswith("kv-keep/"):
                lease = int(name.split("/")[1])
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
                return 200, {"ttl_ms": ttl}
            if name.startswith("kv-lease-end/"):
                self.end_lease(int(name.split("/")[1]))
                self.changed.notify_all()
                return 200, {}
        return 404, {}


class StoreProcess:
    """The store in a process of its own."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.process = subprocess.Popen(
            [sys.executable, "-B", os.path.abspath(__file__), address[0], str(address[1])])
        for _ in range(100):
            try:
                self.call("GET", "kv-range?prefix=op/")
                return
            except OSError:
                time.sleep(0.05)

    def call(self, method, path, body=None):
        call = http.client.HTTPConnection(*self.address, timeout=5)
        try:
            call.request(method, "/bilberrylb/" + path, json.dumps(body) if body else None,
                         {"Connection": "close"})
            return json.loads(call.getresponse().read())
        finally:
            call.close()

    def write_as_operator(self, key, value):
        text = base64.b64encode(json.dumps(value).encode()).decode()
        self.call("POST", "operator", {"key": key, "value": text})
        self.record.line("operator writes %s" % key)

    def remove_as_operator(self, key):
        self.call("POST", "operator", {"key": key})
        self.record.line("operator removes %s" % key)

    def keys(self, prefix=""):
        return [item["key"] for item in self.call("GET", "kv-range?prefix=" + prefix)["items"]]

    def close(self):
        self.process.kill()
        self.process.wait(10)


class Deployment:
    """Machines, settings and processes. Ends all processes in close()."""

    def __init__(self, folder):
        self.folder = folder
        self.root = os.path.abspath(os.path.join(folder, "..", ".."))
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="review-")
        self.processes = {}
        self.net = random.randint(16, 250)
        base = self.free_ports()
        self.callers, self.health, self.control, self.outbound, self.app = range(base, base + 5)
        self.internal = base + 5
        self.store_address = (self.ip(1, 1), base + 8)
        self.store = StoreProcess(self.store_address, self.record)

    def ip(self, kind, number):
        """Kinds: 1 store, 2 balancers, 3 agents, 4 clients, 9 routes."""
        return "127.%d.%d.%d" % (self.net, kind, number)

    def free_ports(self):
        while True:
            base = random.randint(20000, 30000)
            try:
                for port in range(base, base + 10):
                    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                        with socket.socket(socket.AF_INET, kind) as probe:
                            probe.bind(("127.0.0.1", port))
                return base
            except OSError:
                continue

    def settings(self, role, name, ip, zone, service):
        values = {
            "node_name": name, "zone": zone, "ip": ip, "bounds.grace_s": 6,
            "listen.datagram_addr": "%s:%d" % (ip, self.callers),
            "listen.ready": "%s:%d" % (ip, self.health),
            "listen.control": "%s:%d" % (ip, self.control),
            "listen.outbound": "%s:%d" % (ip, self.outbound),
            "internal_ports.0": self.internal, "app": "%s:%d" % (ip, self.app),
            "service": service, "bounds.warmup_factor": 1.5,
            "bounds.warmup_tolerance": 5,
            "platform.address": "%s:%d" % self.store_address}
        with open(os.path.join(self.root, "deploy", role + ".ini")) as file:
            text = re.sub(r"\{\{([a-z_.0-9]+)\}\}", lambda m: str(values[m.group(1)]), file.read())
        path = os.path.join(self.temporary, name + ".ini")
        with open(path, "w") as file:
            file.write(text)
        return path

    def start(self, role, name, ip, zone="z1", service=""):
        program = os.path.join(self.root, "target", "bilberry-packet-" + role)
        path = self.settings(role, name, ip, zone, service)
        log = open(os.path.join(self.temporary, name + ".log"), "a")
        self.processes[name] = subprocess.Popen(
            [program, "--settings", path], stdout=log, stderr=log, cwd=self.root)
        self.record.line("start %s" % name)

    def stop(self, name, how=signal.SIGTERM):
        process = self.processes.pop(name)
        self.record.line("%s to %s" % (how.name, name))
        process.send_signal(how)
        process.wait(10)
        self.record.line("%s has ended" % name)

    def log(self, name):
        with open(os.path.join(self.temporary, name + ".log")) as file:
            return file.read()

    def ready(self, ip):
        try:
            call = http.client.HTTPConnection(ip, self.health, timeout=0.5)
            call.request("GET", "/bilberrylb/ready")
            return call.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, ip, seconds=10):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if self.ready(ip):
                return True
            time.sleep(0.1)
        return False

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait(10)
        self.store.close()
        if os.environ.get("KEEP_LOGS"):
            print(self.temporary)
        else:
            shutil.rmtree(self.temporary, ignore_errors=True)


class Server:
    """One incarnation of an application server beside an agent."""

    def __init__(self, deployment, ip, service, name, work_s=0.005, cold_s=0.0, zone="z1"):
        self.d, self.ip, self.service, self.name = deployment, ip, service, name
        self.record, self.zone = deployment.record, zone
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.seq, self.state, self.cold_s = 0, "ready", cold_s
        self.work_s = work_s
        self.flows, self.opened, self.alive = {}, [], True
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, deployment.app))
        self.socket.settimeout(0.2)
        threading.Thread(target=self.read, daemon=True).start()

    def heartbeat(self, seq=None):
        """Returns the status, or None without an answer within a second."""
        if seq is None:
            self.seq += 1
            seq = self.seq
        left = max(0, int((self.cold_s - (time.monotonic() - self.started)) * 1000))
        body = json.dumps({"service": self.service, "address": "%s:%d" % (self.ip, self.d.app),
                           "zone": self.zone, "version": "v1", "slots": 2, "state": self.state,
                           "warmup_left_ms": left, "seq": seq, "born": self.born})
        status = None
        try:
            call = http.client.HTTPConnection(self.ip, self.d.control, timeout=1)
            call.request("PUT", "/bilberrylb/instances/" + self.name, body,
                         {"Content-Type": "application/json"})
            status = call.getresponse().status
        except OSError:
            pass
        self.record.line("heartbeat %s seq=%d born=%d state=%s cold=%d: %s"
                         % (self.name, seq, self.born, self.state, left, status))
        return status

    def beat_forever(self, interval, first=0.0):
        def run():
            time.sleep(first)
            while self.alive:
                self.heartbeat()
                self.next_beat = time.monotonic() + interval
                time.sleep(interval)
        threading.Thread(target=run, daemon=True).start()

    def crash(self):
        self.alive = False
        self.socket.close()
        self.record.line("server %s crashes" % self.name)

    def send(self, packet):
        try:
            self.socket.sendto(packet.encode(), (self.ip, self.d.outbound))
        except OSError:
            pass

    def read(self):
        while self.alive:
            try:
                raw, _ = self.socket.recvfrom(4096)
            except socket.timeout:
                continue
            except OSError:
                return
            self.on_packet(raw)

    def on_packet(self, raw):
        p = Packet.decode(raw)
        flow = (p.src, p.sport, p.dst, p.dport)
        if p.flags & SYN:
            if flow not in self.flows:
                self.flows[flow] = {"seq": random.randrange(1 << 32), "open": False,
                                    "next": (p.seq + 1) & 0xFFFFFFFF, "last": None}
            state = self.flows[flow]
            self.reply(p, state["seq"], state["next"], SYN | ACK)
            return
        state = self.flows.get(flow)
        is_opening = state and not state["open"] and (p.ack - state["seq"]) & 0xFFFFFFFF == 1
        if not state or not (state["open"] or is_opening):
            # Not held: the packet goes back unchanged but for the flag.
            self.record.line("server %s returns a packet of %s:%d" % (self.name, p.src, p.sport))
            back = bytearray(raw)
            back[18] |= BOUNCED
            back[19] = 0
            try:
                self.socket.sendto(bytes(back), (self.ip, self.d.outbound))
            except OSError:
                pass
            return
        if is_opening:
            state["open"] = True
            state["seq"] = (state["seq"] + 1) & 0xFFFFFFFF
            self.opened.append(time.monotonic())
            self.record.line("flow %s:%d opens at server %s" % (p.src, p.sport, self.name))
        if p.flags & RST:
            self.flows.pop(flow, None)
            return
        if p.flags & FIN:
            self.reply(p, state["seq"], (p.seq + 1) & 0xFFFFFFFF, ACK | FIN)
            return
        if p.data:
            if p.seq == state["next"]:
                state["next"] = (p.seq + len(p.data)) & 0xFFFFFFFF
                time.sleep(self.work_s)
                answer = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
                state["last"] = (state["seq"], answer)
                state["seq"] = (state["seq"] + len(answer)) & 0xFFFFFFFF
                self.record.line("server %s runs %s" % (self.name, p.data.split(b"\r\n")[1].decode()))
            if state["last"]:
                self.reply(p, state["last"][0], state["next"], ACK, state["last"][1])

    def reply(self, p, seq, ack, flags, data=b""):
        self.send(Packet(seq, ack, flags, p.dst, p.dport, p.src, p.sport, data))


class Client:
    """A client address with flows; each sends one request at a time."""

    def __init__(self, deployment, ip, route):
        self.d, self.ip, self.route = deployment, ip, route
        self.record = deployment.record
        self.flows, self.balancers = {}, []
        self.resets_of_open_flows = []
        self.lock = threading.Lock()
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.socket.bind((ip, deployment.callers))
        threading.Thread(target=self.read, daemon=True).start()

    def send(self, flow, flags, seq, ack, data=b""):
        packet = Packet(seq, ack, flags, self.ip, flow["port"], self.route[0], self.route[1], data)
        # The routers' hash of the addresses and ports, in the form "mod".
        to = self.balancers[flow["port"] % len(self.balancers)]
        self.socket.sendto(packet.encode(), (to, self.d.callers))

    def open(self, port):
        """Opens a flow; returns it, or None."""
        flow = {"port": port, "seq": random.randrange(1 << 32), "ack": 0, "state": "opening",
                "answered": threading.Event()}
        self.flows[port] = flow
        for copy, wait in ((0, 0.2), (1, 0.4), (2, 0.8)):
            self.send(flow, SYN, flow["seq"], copy)
            if flow["answered"].wait(wait):
                break
        if flow["state"] != "open":
            self.record.line("client %s:%d: no flow (%s)" % (self.ip, port, flow["state"]))
            return None
        flow["answered"].clear()
        return flow

    def request(self, flow, attempt, deadline_s=3.0):
        """Returns True if the request is answered."""
        data = ("GET / HTTP/1.1\r\nX-Attempt-Id: %s\r\n\r\n" % attempt).encode()
        flow["answered"].clear()
        end, wait = time.monotonic() + deadline_s, 0.2
        self.record.line("client %s:%d sends %s" % (self.ip, flow["port"], attempt))
        while flow["state"] == "open" and time.monotonic() < end:
            self.send(flow, ACK, flow["seq"], flow["ack"], data)
            if flow["answered"].wait(wait):
                break
            wait = min(1.6, wait * 2)
        answered = flow["answered"].is_set() and flow["state"] == "open"
        if answered:
            flow["seq"] = (flow["seq"] + len(data)) & 0xFFFFFFFF
        self.record.line("client %s:%d: %s is %s" % (
            self.ip, flow["port"], attempt, "answered" if answered else "not answered"))
        return answered

    def close(self, flow):
        """Closes the flow; its last packets may be lost."""
        flow["state"] = "closed"
        self.send(flow, ACK | FIN, flow["seq"], flow["ack"])

    def read(self):
        while True:
            raw, sender = self.socket.recvfrom(4096)
            p = Packet.decode(raw)
            flow = self.flows.get(p.dport)
            if not flow:
                continue
            if p.flags & RST:
                own = p.sum == 0 and not p.data
                self.record.line("client %s:%d gets a reset%s from %s, flow is %s" % (
                    self.ip, p.dport, " of the system" if own else "", sender[0], flow["state"]))
                if own and flow["state"] == "open":
                    self.resets_of_open_flows.append((time.monotonic(), p.dport))
                flow["state"] = "reset"
                flow["answered"].set()
            elif p.flags & SYN and flow["state"] == "opening":
                flow["ack"] = (p.seq + 1) & 0xFFFFFFFF
                flow["seq"] = (flow["seq"] + 1) & 0xFFFFFFFF
                flow["state"] = "open"
                self.send(flow, ACK, flow["seq"], flow["ack"])
                flow["answered"].set()
            elif p.data and flow["state"] == "open" and p.seq == flow["ack"]:
                flow["ack"] = (p.seq + len(p.data)) & 0xFFFFFFFF
                self.send(flow, ACK, (flow["seq"]) & 0xFFFFFFFF, flow["ack"])
                flow["answered"].set()


def configuration(route, version=1, service="svc", warmup_per_s=5.0, idle_ms=12000):
    return {"version": version,
            "routes": [{"name": "r1", "host": route[0], "prefix": "/%d/" % route[1],
                        "type": "safe", "timeout_ms": 3000, "target_latency_ms": 250,
                        "priority": 1, "service": service, "max_attempts": 2}],
            "services": [{"name": service, "health_path": "/health", "max_connections": 2000,
                          "protocol": "h1", "tls": False, "warmup_s": 2.0,
                          "warmup_per_s": warmup_per_s}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": idle_ms}}


BROKEN, HELD, NOT_RUN = 1, 0, 2


def run_case(folder, play):
    """Calls play(deployment, trouble) and exits with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        result = play(deployment, trouble)
    except Exception:  # The case couldn't run.
        deployment.record.line("the case couldn't run: " + traceback.format_exc())
        result = NOT_RUN
    finally:
        deployment.close()
    deployment.record.line("TROUBLE=%d, result: %s" % (
        trouble, {BROKEN: "the rule was broken", HELD: "the rule held"}.get(
            result, "the case couldn't run")), is_last=True)
    os._exit(result)


if __name__ == "__main__":
    Store((sys.argv[1], int(sys.argv[2]))).server.serve_forever()
