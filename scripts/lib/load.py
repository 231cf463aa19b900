"""Generates callers' load on a deployment and checks its outcome."""

import json
import signal
import subprocess

from deployment import DeploymentError, try_http, wait_until

# Reason in an agent's reset of flows whose data centre was taken out of service.
DATA_CENTRE_OUT_REASON = "data centre out of service"


class Load:
    """A caller stand-in process. A context manager that kills it on exit."""

    def __init__(self, run, streams=600, requests=60, uploads=8, seed=1, seconds=3600,
                 duplicate=10, extra=()):
        self.run = run
        self.admin = run.allocate_address()
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
        self.process = self.run.start_process("caller", self.argv, stdout=subprocess.PIPE)
        wait_until(lambda: self.summary() is not None, "the callers")
        return self

    def __exit__(self, kind, value, trace):
        self.process.stop()

    def summary(self):
        return try_http(self.admin, "/summary")

    def wait_for_open_streams(self, share=0.95, seconds=60.0):
        """Waits until a share of the streams is open."""
        wait_until(lambda: self.count_open_streams() >= share * self.streams,
                   "open streams", seconds)

    def count_open_streams(self):
        summary = self.summary()
        streams = summary["streams"]
        return (streams["opened"] - streams["closed"] - streams["closed_partly"]
                - streams["broken"])

    def stop_and_summarize(self):
        """Ends the load, waits for the outcomes and returns the summary."""
        self.process.signal(signal.SIGTERM)
        try:
            text, _ = self.process.popen.communicate(timeout=60)
        except subprocess.TimeoutExpired as failure:
            raise DeploymentError("the callers did not end") from failure
        summary = json.loads(text)
        add_request_run_counts(self.run, summary)
        add_broken_flow_counts(summary)
        return summary


def add_request_run_counts(run, summary):
    """Adds counts that compare each request's outcome with the upstreams' ledgers."""
    runs = run.runs_by_request()
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


def add_broken_flow_counts(summary):
    """Counts broken flows by reason, and apart those whose data centre is out of service."""
    given_up = [flow for flow in summary["broken_flows"]
                if DATA_CENTRE_OUT_REASON in flow["reason"]]
    summary["given_up"] = len(given_up)
    summary["broken_outside"] = len(summary["broken_flows"]) - len(given_up)
    reasons = {}
    for flow in summary["broken_flows"]:
        reasons[flow["reason"]] = reasons.get(flow["reason"], 0) + 1
    summary["broken_by_reason"] = reasons


def flow_imbalance(run):
    """Maximum over mean of the stream service's open flows per upstream."""
    ledgers = run.ledgers()
    counts = [ledgers[item.name]["flows_open"]
              for item in run.upstreams_of_service(run.stream_service().name)
              if ledgers.get(item.name)]
    mean = sum(counts) / max(1, len(counts))
    return max(counts) / mean if mean else 0.0


def check_guarantees(summary):
    """Returns one line for each violated guarantee; see docs/PROMISES.md."""
    problems = []

    def require_zero(value, text):
        if value:
            problems.append(f"{value} {text}")

    require_zero(summary["broken_outside"],
                 f"flows broken without their data centre taken out: "
                 f"{summary['broken_by_reason']}")
    require_zero(len(summary["ran_twice"]), "requests ran more than once")
    require_zero(summary["not_run_but_ran"], "requests refused as not run had run")
    require_zero(summary["answered_but_not_run"], "requests answered that no upstream ran")
    require_zero(summary["requests"]["wrong_answers"], "wrong or crossed answers")
    require_zero(summary["requests"]["contradicted"], "requests with two different outcomes")
    require_zero(summary["wrong_service"], "packets at an upstream of another service")
    require_zero(summary["overruns"], "arrivals above an upstream's capacity")
    require_zero(summary["flows_left"], "flows without an end")
    if summary["streams"]["opened"] == 0 or summary["requests"]["answered"] == 0:
        problems.append("nothing was served")
    return problems
