"""Callers' load on a deployment, and what must hold of what came of it."""

import json
import signal
import subprocess

from deployment import DeploymentError, try_http, wait_until

# An agent's reason for a reset of the flows of a data centre that is out.
GIVEN_UP = "data centre out of service"


class Load:
    """One caller process. Use as a context manager."""

    def __init__(self, run, streams=600, requests=60, uploads=8, seed=1, seconds=3600,
                 duplicate=10, extra=()):
        self.run = run
        self.admin = run.address()
        stream, upload = run.stream_service(), run.upload_service()
        argv = [run.build / "bilberry-caller-standin", "--admin", self.admin, "--detail",
                "--seconds", seconds, "--close-timeout", 20, "--seed", seed,
                "--duplicate", duplicate]
        for service in run.services:
            argv += ["--service", f"{service.name}={service.address}"]
        argv += ["--stream", f"{stream.stream_class}@{stream.name}", "--streams", streams,
                 "--request", f"{stream.request_class}@{stream.name}",
                 "--requests-per-second", int(requests),
                 "--upload", f"{upload.upload_class}@{upload.name}", "--uploads", uploads]
        self.argv = argv + list(extra)
        self.process = None
        self.streams = streams

    def __enter__(self):
        self.process = self.run.run("caller", self.argv, stdout=subprocess.PIPE)
        wait_until(lambda: self.summary() is not None, "the callers")
        return self

    def __exit__(self, kind, value, trace):
        self.process.stop()

    def summary(self):
        return try_http(self.admin, "/summary")

    def wait_open(self, share=0.95, seconds=60.0):
        """Until most streams are open."""
        wait_until(lambda: self.open_streams() >= share * self.streams, "open streams", seconds)

    def open_streams(self):
        summary = self.summary()
        streams = summary["streams"]
        return (streams["opened"] - streams["closed"] - streams["closed_partly"]
                - streams["broken"])

    def finish(self):
        """Ends the load, waits for every outcome, and adds the upstreams' view."""
        self.process.signal(signal.SIGTERM)
        try:
            text, _ = self.process.popen.communicate(timeout=60)
        except subprocess.TimeoutExpired as failure:
            raise DeploymentError("the callers did not end") from failure
        summary = json.loads(text)
        add_ledgers(self.run, summary)
        add_broken(summary)
        return summary


def add_ledgers(run, summary):
    """Compares each request's outcome with what the upstreams have run."""
    runs = run.full_ledgers()
    outcomes = summary.pop("request_outcomes")
    summary["max_runs"] = max(runs.values(), default=0)
    summary["ran_twice"] = [name for name, count in runs.items() if count > 1]
    summary["not_run_but_ran"] = sum(
        1 for name, item in outcomes.items() if item["outcome"] == "not-run" and runs.get(name))
    summary["answered_but_not_run"] = sum(
        1 for name, item in outcomes.items()
        if item["outcome"] == "answered" and not runs.get(name))
    ledgers = [item for item in run.ledgers().values() if item]
    summary["overruns"] = sum(item["overruns"] for item in ledgers)
    summary["wrong_service"] = sum(item["wrong_service"] for item in ledgers)


def add_broken(summary):
    """Splits broken flows into those given up with a data centre and the rest."""
    given_up = [flow for flow in summary["broken_flows"] if GIVEN_UP in flow["reason"]]
    summary["given_up"] = len(given_up)
    summary["broken_outside"] = len(summary["broken_flows"]) - len(given_up)
    reasons = {}
    for flow in summary["broken_flows"]:
        reasons[flow["reason"]] = reasons.get(flow["reason"], 0) + 1
    summary["broken_by_reason"] = reasons


def imbalance(run):
    """Max over mean of the stream service's open flows across its upstreams."""
    ledgers = run.ledgers()
    counts = [ledgers[item.name]["flows_open"]
              for item in run.of_service(run.stream_service().name) if ledgers.get(item.name)]
    mean = sum(counts) / max(1, len(counts))
    return max(counts) / mean if mean else 0.0


def check_promises(summary):
    """What was broken, one line each."""
    problems = []

    def must_be_zero(value, text):
        if value:
            problems.append(f"{value} {text}")

    must_be_zero(summary["broken_outside"],
                 f"flows broken without their data centre taken out: "
                 f"{summary['broken_by_reason']}")
    must_be_zero(len(summary["ran_twice"]), "requests ran more than once")
    must_be_zero(summary["not_run_but_ran"], "requests refused as not run had run")
    must_be_zero(summary["answered_but_not_run"], "requests answered that no upstream ran")
    must_be_zero(summary["requests"]["wrong_answers"], "wrong or crossed answers")
    must_be_zero(summary["requests"]["contradicted"], "requests with two different outcomes")
    must_be_zero(summary["wrong_service"], "packets at an upstream of another service")
    must_be_zero(summary["overruns"], "arrivals above what an upstream bears")
    must_be_zero(summary["flows_left"], "flows without an end")
    if summary["streams"]["opened"] == 0 or summary["requests"]["answered"] == 0:
        problems.append("nothing was served")
    return problems
