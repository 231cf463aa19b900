"""Starts and stops a whole deployment on loopback, and injects faults into it.

A Deployment reads examples/NAME.deployment.ini, writes each process's settings
into a temporary folder, and starts the stand-ins and daemons from a build
folder. It terminates only processes that it started.
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
# Below Linux's default range of ephemeral ports, which starts at 32768.
FIRST_PORT = 20000
LAST_PORT = 32000


class DeploymentError(Exception):
    """A process did not start, or a condition was not met in time."""


def wait_until(condition, description, timeout_seconds=60.0, interval_seconds=0.1):
    """Polls condition until its result is true, and returns that result."""
    deadline = time.monotonic() + timeout_seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise DeploymentError(
                f"timed out after {timeout_seconds:.0f} s waiting for {description}")
        time.sleep(interval_seconds)


def http(address, path, body=None, timeout=5.0):
    """Sends a GET, or a POST with a JSON body. Returns the parsed JSON or the text."""
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
    """Like http, but returns None if the request fails."""
    try:
        return http(address, path, body, timeout)
    except (urllib.error.URLError, OSError, TimeoutError):
        return None


def is_port_free(port):
    """Returns whether the port is unused for both TCP and UDP."""
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as test_socket:
            try:
                test_socket.bind((HOST, port))
            except OSError:
                return False
    return True


class Process:
    """A child process with its command line and log file."""

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

    def wait(self, timeout_seconds=60.0):
        try:
            return self.popen.wait(timeout_seconds)
        except subprocess.TimeoutExpired as failure:
            raise DeploymentError(
                f"{self.name} did not end in {timeout_seconds:.0f} s") from failure

    def stop(self):
        """Kills the process, also if it is stopped by SIGSTOP."""
        if self.running():
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait()


class Upstream:
    """Names and addresses of an upstream and its agent."""

    def __init__(self, service, number, data_centre):
        self.service = service
        self.name = f"{service}-{number}"
        self.data_centre = data_centre
        self.address = self.admin = self.data = self.control = self.metrics = ""

    @property
    def upstream_process(self):
        return f"upstream-{self.name}"


class Service:
    """A service section of the deployment file."""

    def __init__(self, name, config_section):
        self.name = name
        self.servers = config_section.getint("servers")
        self.slots = config_section.getint("slots")
        self.connections = config_section.getint("connections")
        self.stream_class = config_section.get("stream-class", "")
        self.request_class = config_section.get("request-class", "")
        self.upload_class = config_section.get("upload-class", "")
        self.address = ""


class Deployment:
    """A whole deployment. A context manager that kills all its processes on exit."""

    def __init__(self, name, build=None, keep=False, log_level="info", service_time_ms=20):
        self.build = pathlib.Path(build or DEFAULT_BUILD)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bilberry-"))
        self.keep = keep
        self.log_level = log_level
        self.service_time_ms = service_time_ms
        self.next_port = FIRST_PORT + (os.getpid() * 97) % 8000
        self.processes = {}
        parser = configparser.ConfigParser()
        with open(ROOT / "examples" / f"{name}.deployment.ini", encoding="utf-8") as config_file:
            parser.read_file(config_file)
        config_section = parser["deployment"]
        self.targets = ROOT / "examples" / config_section["targets"]
        self.data_centres = [part.strip() for part in config_section["data-centres"].split(",")]
        self.services = [Service(key.split(" ", 1)[1], parser[key])
                         for key in parser.sections() if key.startswith("service ")]
        self.balancers = [f"balancer-{i + 1}" for i in range(config_section.getint("balancers"))]
        self.allocate_addresses()

    def __enter__(self):
        return self

    def __exit__(self, kind, value, trace):
        self.stop()
        if not self.keep and kind is None:
            shutil.rmtree(self.folder, ignore_errors=True)
        elif kind is not None or self.keep:
            print(f"logs: {self.folder}")

    # Address allocation.

    def allocate_address(self):
        """Returns the next address whose port is unused."""
        while True:
            self.next_port += 1
            if self.next_port > LAST_PORT:
                self.next_port = FIRST_PORT
            if is_port_free(self.next_port):
                return f"{HOST}:{self.next_port}"

    def allocate_addresses(self):
        self.store = self.allocate_address()
        self.fabric_admin = self.allocate_address()
        self.ports = {}
        self.upstreams = []
        for service in self.services:
            service.address = self.allocate_address()
            for i in range(service.servers):
                self.add_upstream(service, i + 1, self.data_centres[i % len(self.data_centres)])
        for name in self.balancers:
            self.allocate_balancer_addresses(name)

    def add_upstream(self, service, number, data_centre):
        """Allocates addresses for one more upstream and agent; start_upstream starts them."""
        upstream = Upstream(service.name, number, data_centre)
        for key in ("address", "admin", "data", "control", "metrics"):
            setattr(upstream, key, self.allocate_address())
        self.upstreams.append(upstream)
        return upstream

    def allocate_balancer_addresses(self, name):
        self.ports[name] = {key: self.allocate_address() for key in ("data", "control", "metrics")}

    # Starting processes.

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

    def start_process(self, name, argv, stdout=None):
        process = Process(name, argv, self.folder, stdout)
        process.start()
        self.processes[name] = process
        return process

    def start_store(self):
        self.start_process("store", [self.build / "bilberry-store-standin", "--listen", self.store])
        wait_until(lambda: try_http(self.store, "/standin/counts") is not None, "the store")

    def start_upstream_process(self, upstream):
        service = self.service(upstream.service)
        self.start_process(upstream.upstream_process, [
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
        self.start_process(upstream.name, [self.build / "bilberry-agent", "--settings", path])

    def start_upstream(self, upstream):
        self.start_upstream_process(upstream)
        self.start_agent(upstream)

    def start_balancer(self, name):
        data_centre = self.data_centres[self.balancers.index(name) % len(self.data_centres)]
        path = self.settings(name, data_centre, self.ports[name])
        self.start_process(name, [self.build / "bilberry-balancer", "--settings", path])

    def start_fabric(self):
        argv = [self.build / "bilberry-fabric-standin", "--admin", self.fabric_admin]
        for service in self.services:
            argv += ["--service", f"{service.name}={service.address}"]
        for name in self.balancers:
            argv += ["--balancer", self.ports[name]["data"]]
        self.start_process("fabric", argv)

    def start(self):
        self.start_store()
        self.run_ctl("apply", self.targets, check=True)
        for upstream in self.upstreams:
            self.start_upstream(upstream)
        for name in self.balancers:
            self.start_balancer(name)
        self.start_fabric()
        self.wait_in_service()

    # Queries and control.

    def service(self, name):
        return next(item for item in self.services if item.name == name)

    def stream_service(self):
        return next(item for item in self.services if item.stream_class)

    def upload_service(self):
        return next(item for item in self.services if item.upload_class)

    def upstreams_of_service(self, name):
        return [item for item in self.upstreams if item.service == name]

    def run_ctl(self, *arguments, check=False, timeout=60.0):
        """Runs bilberryctl with JSON output. Returns its exit code and the parsed output."""
        argv = [str(self.build / "bilberryctl"), "--store", self.store, "--output", "json"]
        argv += [str(word) for word in arguments]
        completed = subprocess.run(argv, capture_output=True, text=True, timeout=timeout,
                                   check=False)
        if check and completed.returncode != 0:
            raise DeploymentError(f"{' '.join(argv)}: exit {completed.returncode}\n"
                                  f"{completed.stdout}{completed.stderr}")
        try:
            return completed.returncode, json.loads(completed.stdout)
        except json.JSONDecodeError:
            return completed.returncode, {"text": completed.stdout + completed.stderr}

    def wait_in_service(self):
        """Waits until every process knows all others and the targets, and all shards are owned."""
        metrics_addresses = [(item.name, item.metrics) for item in self.upstreams]
        metrics_addresses += [(name, self.ports[name]["metrics"]) for name in self.balancers]

        def are_all_in_service():
            for name, metrics in metrics_addresses:
                if not self.processes[name].running():
                    raise DeploymentError(f"{name} ended; see {self.processes[name].log}")
                status = try_http(metrics, "/status")
                if (not status or status["members"] < len(metrics_addresses) - 1 or
                        status["revision"] < 1):
                    return False
            return all(self.shards_owned(service.name) for service in self.services)

        wait_until(are_all_in_service, "all processes in service", 30)

    def shards_owned(self, service):
        owned = 0
        for item in self.upstreams_of_service(service):
            status = try_http(item.metrics, "/status")
            owned += status["requests"]["shards_owned"] if status else 0
        return owned >= 32

    def ledgers(self):
        return {item.name: try_http(item.admin, "/ledger") for item in self.upstreams
                if self.processes.get(item.upstream_process) and
                self.processes[item.upstream_process].running()}

    def runs_by_request(self):
        """Number of runs by request id, summed over the running upstreams."""
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
        """Sets the balancers over which the fabric distributes packets."""
        http(self.fabric_admin, "/balancers", [self.ports[name]["data"] for name in names])

    def inject_fault(self, body):
        """Injects a fault into the store stand-in; see bilberry/standin/store_server.h."""
        return http(self.store, "/standin/fault", body)

    def stop(self):
        for process in self.processes.values():
            process.stop()
