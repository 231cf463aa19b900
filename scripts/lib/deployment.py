"""Starts, faults and stops a whole deployment as processes on loopback.

A Deployment reads examples/NAME.deployment.ini, writes each process's settings
into a temporary folder, and starts the stand-ins and daemons from a build
folder. It ends only processes that it started.
"""

import configparser
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[2]
DEFAULT_BUILD = ROOT / "build" / "release"
HOST = "127.0.0.1"
# Below the ports that Linux hands out to outgoing connections.
FIRST_PORT = 20000
LAST_PORT = 32000


class DeploymentError(Exception):
    """A process did not start, or a condition was not met in time."""


def wait_until(condition, what, seconds=60.0, step=0.1):
    """Calls condition until it returns something true, and returns that."""
    end = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > end:
            raise DeploymentError(f"waited {seconds:.0f} s in vain for {what}")
        time.sleep(step)


def http(address, path, body=None, timeout=5.0):
    """GET, or POST of a JSON body; returns the parsed answer or its text."""
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(f"http://{address}{path}", data=data)
    if data is not None:
        request.add_header("Content-Type", "application/json")
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        text = answer.read().decode()
    try:
        return json.loads(text)
    except json.JSONDecodeError:
        return text


def try_http(address, path, body=None, timeout=2.0):
    """As http, but None where nobody answers."""
    try:
        return http(address, path, body, timeout)
    except (urllib.error.URLError, OSError, TimeoutError):
        return None


def is_free(port):
    """True where nobody holds the port, of TCP or UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                return False
    return True


class Process:
    """One process: its command line, its log file, and how to signal it."""

    def __init__(self, name, argv, folder, stdout=None):
        self.name = name
        self.argv = [str(word) for word in argv]
        self.log = folder / f"{name}.log"
        self.stdout = stdout
        self.popen = None

    def start(self):
        with open(self.log, "ab") as log:
            self.popen = subprocess.Popen(
                self.argv, stdin=subprocess.DEVNULL, stderr=log, stdout=self.stdout or log)

    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        if self.running():
            self.popen.send_signal(number)

    def wait(self, seconds=60.0):
        try:
            return self.popen.wait(seconds)
        except subprocess.TimeoutExpired as failure:
            raise DeploymentError(f"{self.name} did not end in {seconds:.0f} s") from failure

    def stop(self):
        """Ends the process at once, whatever state it is in."""
        if self.running():
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


class Upstream:
    """The ports and names of one upstream and the agent beside it."""

    def __init__(self, service, number, data_centre):
        self.service = service
        self.name = f"{service}-{number}"
        self.data_centre = data_centre
        self.address = self.admin = self.data = self.control = self.metrics = ""

    @property
    def upstream_process(self):
        return f"upstream-{self.name}"


class Service:
    """One service's section of the deployment file."""

    def __init__(self, name, section):
        self.name = name
        self.servers = section.getint("servers")
        self.slots = section.getint("slots")
        self.connections = section.getint("connections")
        self.stream_class = section.get("stream-class", "")
        self.request_class = section.get("request-class", "")
        self.upload_class = section.get("upload-class", "")
        self.address = ""


class Deployment:
    """A whole deployment. Use as a context manager: leaving it ends all."""

    def __init__(self, name, build=None, keep=False, log_level="info", service_time_ms=20):
        self.build = pathlib.Path(build or DEFAULT_BUILD)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberry-"))
        self.keep = keep
        self.log_level = log_level
        self.service_time_ms = service_time_ms
        self.next_port = FIRST_PORT + (os.getpid() * 97) % 8000
        self.processes = {}
        parser = configparser.ConfigParser()
        with open(ROOT / "examples" / f"{name}.deployment.ini", encoding="utf-8") as file:
            parser.read_file(file)
        section = parser["deployment"]
        self.targets = ROOT / "examples" / section["targets"]
        self.data_centres = [part.strip() for part in section["data-centres"].split(",")]
        self.services = [Service(key.split(" ", 1)[1], parser[key])
                         for key in parser.sections() if key.startswith("service ")]
        self.balancers = [f"balancer-{i + 1}" for i in range(section.getint("balancers"))]
        self.plan()

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.stop()
        if not self.keep and kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        elif kind is not None or self.keep:
            print(f"logs: {self.folder}")

    # Plan: who has which address.

    def address(self):
        """The next address that no other program holds."""
        while True:
            self.next_port += 1
            if self.next_port > LAST_PORT:
                self.next_port = FIRST_PORT
            if is_free(self.next_port):
                return f"{HOST}:{self.next_port}"

    def plan(self):
        self.store = self.address()
        self.fabric_admin = self.address()
        self.ports = {}
        self.upstreams = []
        for service in self.services:
            service.address = self.address()
            for i in range(service.servers):
                self.add_upstream(service, i + 1, self.data_centres[i % len(self.data_centres)])
        for name in self.balancers:
            self.plan_balancer(name)

    def add_upstream(self, service, number, data_centre):
        """Plans one more upstream with its agent; start it with start_upstream."""
        upstream = Upstream(service.name, number, data_centre)
        for key in ("address", "admin", "data", "control", "metrics"):
            setattr(upstream, key, self.address())
        self.upstreams.append(upstream)
        return upstream

    def plan_balancer(self, name):
        self.ports[name] = {key: self.address() for key in ("data", "control", "metrics")}

    # Start.

    def seeds(self):
        agents = [upstream.control for upstream in self.upstreams[:3]]
        return ", ".join(agents + [self.ports[name]["control"] for name in self.balancers[:1]])

    def settings(self, name, data_centre, ports, service=None, upstream=None):
        lines = ["[process]", f"name = {name}", f"data-centre = {data_centre}"]
        if service:
            lines.append(f"service = {service}")
        lines += [f"{key} = {ports[key]}" for key in ("data", "control", "metrics")]
        lines += ["", "[store]", f"address = {self.store}", "timeout = 1s"]
        if upstream:
            lines += ["", "[upstream]", f"address = {upstream}"]
        lines += ["", "[peers]", f"seeds = {self.seeds()}"]
        lines += ["", "[log]", f"level = {self.log_level}", "layout = text", ""]
        path = self.folder / f"{name}.ini"
        path.write_text("\n".join(lines), encoding="utf-8")
        return path

    def run(self, name, argv, stdout=None):
        process = Process(name, argv, self.folder, stdout)
        process.start()
        self.processes[name] = process
        return process

    def start_store(self):
        self.run("store", [self.build / "bilberry-store-standin", "--listen", self.store])
        wait_until(lambda: try_http(self.store, "/standin/counts") is not None, "the store")

    def start_upstream_process(self, upstream):
        service = self.service(upstream.service)
        self.run(upstream.upstream_process, [
            self.build / "bilberry-upstream-standin",
            "--listen", upstream.address, "--admin", upstream.admin,
            "--service", service.name,
            "--slots", service.slots, "--connections", service.connections,
            "--cold-slots", 2 if service.slots > 2 else 1, "--cold-connections", 200,
            "--completions-per-slot", 10,
            "--service-time", self.service_time_ms,
            "--push-interval", 500 if service.stream_class else 0])
        wait_until(lambda: try_http(upstream.admin, "/ledger") is not None,
                   upstream.upstream_process)

    def start_agent(self, upstream):
        ports = {"data": upstream.data, "control": upstream.control, "metrics": upstream.metrics}
        path = self.settings(upstream.name, upstream.data_centre, ports, upstream.service,
                             upstream.address)
        self.run(upstream.name, [self.build / "bilberry-agent", "--settings", path])

    def start_upstream(self, upstream):
        self.start_upstream_process(upstream)
        self.start_agent(upstream)

    def start_balancer(self, name):
        place = self.data_centres[self.balancers.index(name) % len(self.data_centres)]
        path = self.settings(name, place, self.ports[name])
        self.run(name, [self.build / "bilberry-balancer", "--settings", path])

    def start_fabric(self):
        argv = [self.build / "bilberry-fabric-standin", "--admin", self.fabric_admin]
        for service in self.services:
            argv += ["--service", f"{service.name}={service.address}"]
        for name in self.balancers:
            argv += ["--balancer", self.ports[name]["data"]]
        self.run("fabric", argv)

    def start(self):
        self.start_store()
        self.ctl("apply", self.targets, check=True)
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        for name in self.balancers:
            self.start_balancer(name)
        self.start_fabric()
        self.wait_in_service()

    # Look and steer.

    def service(self, name):
        return next(item for item in self.services if item.name == name)

    def stream_service(self):
        return next(item for item in self.services if item.stream_class)

    def upload_service(self):
        return next(item for item in self.services if item.upload_class)

    def of_service(self, name):
        return [item for item in self.upstreams if item.service == name]

    def ctl(self, *words, check=False, timeout=60.0):
        """Runs bilberryctl with JSON output; returns (exit code, answer)."""
        argv = [str(self.build / "bilberryctl"), "--store", self.store, "--output", "json"]
        argv += [str(word) for word in words]
        done = subprocess.run(argv, capture_output=True, text=True, timeout=timeout, check=False)
        if check and done.returncode != 0:
            raise DeploymentError(f"{' '.join(argv)}: exit {done.returncode}\n"
                                  f"{done.stdout}{done.stderr}")
        try:
            return done.returncode, json.loads(done.stdout)
        except json.JSONDecodeError:
            return done.returncode, {"text": done.stdout + done.stderr}

    def wait_in_service(self):
        """Until every process is announced, knows all others, and shards have owners."""
        names = [(item.name, item.metrics) for item in self.upstreams]
        names += [(name, self.ports[name]["metrics"]) for name in self.balancers]

        def ready():
            for name, metrics in names:
                if not self.processes[name].running():
                    raise DeploymentError(f"{name} ended; see {self.processes[name].log}")
                status = try_http(metrics, "/status")
                if not status or status["members"] < len(names) - 1 or status["revision"] < 1:
                    return False
            return all(self.shards_owned(service.name) for service in self.services)

        wait_until(ready, "all processes in service", 30)

    def shards_owned(self, service):
        owned = 0
        for item in self.of_service(service):
            status = try_http(item.metrics, "/status")
            owned += status["requests"]["shards_owned"] if status else 0
        return owned >= 32

    def ledgers(self):
        return {item.name: try_http(item.admin, "/ledger") for item in self.upstreams
                if self.processes.get(item.upstream_process) and
                self.processes[item.upstream_process].running()}

    def full_ledgers(self):
        """Runs of each request id over all upstreams that are up."""
        runs = {}
        for item in self.upstreams:
            process = self.processes.get(item.upstream_process)
            if process is None or not process.running():
                continue
            ledger = http(item.admin, "/ledger/full", timeout=30.0)
            for request, count in ledger["runs"].items():
                runs[request] = runs.get(request, 0) + count
        return runs

    def set_balancers(self, names):
        """The balancers that the fabric sprays over."""
        http(self.fabric_admin, "/balancers", [self.ports[name]["data"] for name in names])

    def fault(self, body):
        """Injects a fault into the store; see bilberry-store-standin."""
        return http(self.store, "/standin/fault", body)

    def stop(self):
        for process in self.processes.values():
            process.stop()
