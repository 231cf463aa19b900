"""Tests of the guarantees in docs/PROMISES.md under faults.

A proof starts its own deployment, generates load, injects a fault, and returns
a Result with the problems found and the counts they are based on.
"""

import signal
import threading
import time

from deployment import Deployment, DeploymentError, http, try_http, wait_until
from load import Load, check_guarantees

# Time allowed for a change to reach all processes: "a few seconds" in the guarantees.
PROPAGATION_SECONDS = 4.0
LEASE_SECONDS = 6.0


class Result:
    """Problems found by a proof, and a line of counts."""

    def __init__(self, problems, counts):
        self.problems = problems
        self.counts = counts


def check_summary(summary, problems=None, allow_broken=False,
                  allow_missing_ledger=False):
    """Checks a load's summary and returns the Result.

    allow_broken: ignores broken flows, for a fault that kills or freezes the
    agent holding them, which is not a planned change. allow_missing_ledger:
    ignores answered requests that are in no upstream's ledger, since the ledger of a
    killed upstream can't be read.
    """
    ignored = []
    if allow_broken:
        ignored.append("flows broken")
    if allow_missing_ledger:
        ignored.append("that no upstream ran")
    found = [text for text in check_guarantees(summary)
             if not any(word in text for word in ignored)]
    streams, requests = summary["streams"], summary["requests"]
    counts = (f"{streams['opened']} streams, {summary['broken_outside']} broken, "
              f"{summary['given_up']} given up in a data centre out of service, "
              f"{summary['uploads']['closed']} uploads; "
              f"requests {requests['answered']} answered {requests['not_run']} not run "
              f"{requests['unknown'] + requests['no_outcome']} unknown; "
              f"max runs {summary['max_runs']}; arrivals above capacity {summary['overruns']}")
    return Result(found + (problems or []), counts)


class DeploymentUnderLoad:
    """A deployment under load. A context manager that stops both on exit."""

    def __init__(self, deployment="thibodeaux", **load):
        self.run = Deployment(deployment, log_level="info")
        self.load_options = {"streams": 200, "requests": 40, "uploads": 6, **load}
        self.load = None

    def __enter__(self):
        try:
            self.run.start()
            self.load = Load(self.run, **self.load_options)
            self.load.__enter__()
            self.load.wait_for_open_streams()
        except BaseException:
            self.run.stop()
            raise
        return self

    def __exit__(self, kind, value, trace):
        self.load.process.stop()
        self.run.__exit__(kind, value, trace)

    def stop_and_summarize(self):
        return self.load.stop_and_summarize()


def restart_agent(run, upstream):
    """Restarts an agent with SIGHUP and waits until it is connected to its upstream."""
    process = run.processes[upstream.name]
    process.signal(signal.SIGHUP)
    code = process.wait(30)
    if code != 0:
        raise DeploymentError(f"{upstream.name} ended with {code}")
    run.start_agent(upstream)
    wait_until(lambda: (try_http(upstream.metrics, "/status") or {}).get("upstream_connected"),
               f"{upstream.name} after its restart")


def replace_balancer(run, name):
    """Removes a balancer from the fabric, replaces its process, and adds it again."""
    others = [other for other in run.balancers if other != name]
    run.set_balancers(others)
    process = run.processes[name]
    process.signal(signal.SIGTERM)
    code = process.wait(40)
    run.start_balancer(name)
    wait_until(lambda: (try_http(run.ports[name]["metrics"], "/status") or {}).get("revision"),
               f"{name} after its replacement")
    run.set_balancers(run.balancers)
    return [] if code == 0 else [f"{name} ended with {code}"]


def replace_balancers_in_turn():
    with DeploymentUnderLoad() as loaded:
        problems = []
        for name in loaded.run.balancers:
            problems += replace_balancer(loaded.run, name)
        return check_summary(loaded.stop_and_summarize(), problems)


def restart_agents_in_turn(store_down=False):
    with DeploymentUnderLoad() as loaded:
        agents = list(loaded.run.upstreams)
        for number, upstream in enumerate(agents):
            if store_down and number == len(agents) // 3:
                loaded.run.inject_fault({"down": "refuse"})
            if store_down and number == 2 * len(agents) // 3:
                loaded.run.inject_fault({"heal": True})
            restart_agent(loaded.run, upstream)
        time.sleep(2)
        return check_summary(loaded.stop_and_summarize())


def replace_half_the_upstreams():
    """Replaces half the upstreams at once while the old ones drain."""
    with DeploymentUnderLoad() as loaded:
        run = loaded.run
        old = [item for item in run.upstreams if item.name.split("-")[-1] in ("1", "2", "3")]
        for item in old:
            fresh = run.add_upstream(run.service(item.service),
                                     int(item.name.split("-")[-1]) + 100, item.data_centre)
            run.start_upstream(fresh)
        for item in old:
            run.processes[item.name].signal(signal.SIGTERM)
        time.sleep(PROPAGATION_SECONDS)
        before = {item.name: http(item.admin, "/ledger")["flows_opened"] for item in old}
        time.sleep(PROPAGATION_SECONDS)
        late_count = sum(http(item.admin, "/ledger")["flows_opened"] - before[item.name]
                         for item in old)
        problems = [f"{late_count} new flows at leaving upstreams"] if late_count else []
        summary = loaded.stop_and_summarize()
        for item in old:
            code = run.processes[item.name].wait(30)
            text = run.processes[item.name].log.read_text(encoding="utf-8")
            if code != 0 or 'cut="0 flows, 0 requests, 0 shards"' not in text:
                problems.append(f"{item.name} dropped work or exited with {code}")
        return check_summary(summary, problems)


def take_data_centre_out(freeze_balancer=False, without_store=False, add_balancer=False,
                         freeze_an_agent=False):
    with DeploymentUnderLoad() as loaded:
        run = loaded.run
        data_centre_name = run.data_centres[-1]
        balancer = run.balancers[0]
        if without_store:
            restart_without_store(run, balancer)
        frozen = []
        if freeze_balancer:
            frozen.append(run.processes[balancer])
        if freeze_an_agent:
            frozen.append(run.processes[next(
                item.name for item in run.upstreams if item.data_centre == data_centre_name)])
        for process in frozen:
            process.signal(signal.SIGSTOP)
        code, _ = run.run_ctl("data-centre", "out", data_centre_name)
        problems = [] if code == 0 else [f"data-centre out: exit {code}"]
        if add_balancer:
            run.balancers.append("balancer-9")
            run.allocate_balancer_addresses("balancer-9")
            run.start_balancer("balancer-9")
            run.set_balancers(run.balancers)
        if frozen:
            time.sleep(LEASE_SECONDS + 2)
            for process in frozen:
                process.signal(signal.SIGCONT)
        time.sleep(PROPAGATION_SECONDS)
        since = int(time.time()) + 1
        time.sleep(4)
        late_count = sum(http(item.admin, f"/ledger?since={since}")["arrivals"]
                         for item in run.upstreams if item.data_centre == data_centre_name)
        if late_count:
            problems.append(f"{late_count} packets reached {data_centre_name} after it was out")
        run.run_ctl("data-centre", "in", data_centre_name, "--wait", "14s")
        time.sleep(3)
        arrivals_after_return = sum(http(item.admin, f"/ledger?since={since}")["arrivals"]
                                    for item in run.upstreams
                                    if item.data_centre == data_centre_name)
        if arrivals_after_return == 0:
            problems.append(f"{data_centre_name} received nothing after it was back in")
        # A frozen agent can break flows that it holds or forwards.
        return check_summary(loaded.stop_and_summarize(), problems, allow_broken=freeze_an_agent)


def restart_without_store(run, balancer):
    """Restarts a balancer that can reach its peers but not the store."""
    process = run.processes[balancer]
    run.set_balancers([name for name in run.balancers if name != balancer])
    process.signal(signal.SIGTERM)
    process.wait(40)
    store, run.store = run.store, run.allocate_address()
    run.start_balancer(balancer)
    run.store = store
    wait_until(lambda: (try_http(run.ports[balancer]["metrics"], "/status") or {}).get("revision"),
               f"{balancer} without the store")
    run.set_balancers(run.balancers)


def kill_agents(count=1):
    """Kills agents; a non-idempotent request must still run at most once."""
    with DeploymentUnderLoad(requests=80) as loaded:
        run = loaded.run
        service = run.stream_service().name
        for item in run.upstreams_of_service(service)[:count]:
            run.processes[item.name].signal(signal.SIGKILL)
        time.sleep(LEASE_SECONDS + 9)
        answered = loaded.load.summary()["requests"]["answered"]
        time.sleep(3)
        answered_at_end = loaded.load.summary()["requests"]["answered"] - answered
        problems = [] if answered_at_end > 60 else [
            f"only {answered_at_end} requests answered in the 3 s at the end"]
        return check_summary(loaded.stop_and_summarize(), problems, allow_broken=True)


def freeze_agent():
    """Pauses an agent for longer than its lease, twice."""
    with DeploymentUnderLoad(requests=80) as loaded:
        run = loaded.run
        process = run.processes[run.upstreams_of_service(run.stream_service().name)[0].name]
        for _ in range(2):
            process.signal(signal.SIGSTOP)
            time.sleep(LEASE_SECONDS + 3)
            process.signal(signal.SIGCONT)
            time.sleep(3)
        return check_summary(loaded.stop_and_summarize(), allow_broken=True)


def store_fault(body, seconds=10.0):
    with DeploymentUnderLoad() as loaded:
        loaded.run.inject_fault(body)
        time.sleep(seconds)
        loaded.run.inject_fault({"heal": True})
        time.sleep(3)
        return check_summary(loaded.stop_and_summarize())


def restart_cold_upstream(false_health=False):
    """Kills and restarts an upstream; with false_health, all upstreams report ok."""
    with DeploymentUnderLoad(requests=120) as loaded:
        run = loaded.run
        item = run.upstreams_of_service(run.stream_service().name)[0]
        if false_health:
            for upstream in run.upstreams:
                http(upstream.admin, "/lie", {"state": "ok", "load": 0.0})
        process = run.processes[item.upstream_process]
        process.signal(signal.SIGKILL)
        process.wait()
        run.start_upstream_process(item)
        time.sleep(8)
        served = http(item.admin, "/ledger")["runs"]
        problems = [] if served else ["the restarted upstream ran nothing"]
        return check_summary(loaded.stop_and_summarize(), problems, allow_broken=True,
                             allow_missing_ledger=True)


def stop_agent_under_load(service_kind):
    """Sends SIGTERM to an agent under load; it must drain and log that it cut off no work."""
    with DeploymentUnderLoad(uploads=12, requests=80) as loaded:
        run = loaded.run
        service = run.upload_service() if service_kind == "upload" else run.stream_service()
        item = run.upstreams_of_service(service.name)[0]
        run.processes[item.name].signal(signal.SIGTERM)
        time.sleep(PROPAGATION_SECONDS)
        problems = []
        summary = loaded.stop_and_summarize()
        code = run.processes[item.name].wait(30)
        text = run.processes[item.name].log.read_text(encoding="utf-8")
        if code != 0 or 'cut="0 flows, 0 requests, 0 shards"' not in text:
            problems.append(f"{item.name} dropped work or exited with {code}")
        return check_summary(summary, problems)


def leave_with_store_down():
    """Drains an agent while the store is down, so that only peers learn of it."""
    with DeploymentUnderLoad(requests=80) as loaded:
        run = loaded.run
        item = run.upstreams_of_service(run.stream_service().name)[0]
        run.inject_fault({"down": "refuse"})
        run.processes[item.name].signal(signal.SIGTERM)
        time.sleep(PROPAGATION_SECONDS)
        before = http(item.admin, "/ledger")
        time.sleep(PROPAGATION_SECONDS)
        after = http(item.admin, "/ledger")
        problems = [f"{after[key] - before[key]} more {key} at the leaving upstream"
                    for key in ("flows_opened", "runs") if after[key] != before[key]]
        run.inject_fault({"heal": True})
        time.sleep(PROPAGATION_SECONDS)
        summary = loaded.stop_and_summarize()
        code = run.processes[item.name].wait(30)
        if code != 0:
            problems.append(f"{item.name} ended with {code}")
        return check_summary(summary, problems)


def concurrent_operators():
    """Two operators repeatedly change different entries concurrently."""
    with DeploymentUnderLoad(requests=20, streams=50) as loaded:
        run = loaded.run
        first, second = run.data_centres[0], run.data_centres[1]
        codes = []

        def change_data_centre(word, data_centre_name):
            code, _ = run.run_ctl("data-centre", word, data_centre_name)
            codes.append(code)

        race_count = 6
        for number in range(race_count):
            words = ("out", "in") if number % 2 == 0 else ("in", "out")
            threads = [threading.Thread(target=change_data_centre, args=(word, data_centre_name))
                       for word, data_centre_name in zip(words, (first, second))]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        run.run_ctl("data-centre", "in", first)
        run.run_ctl("data-centre", "in", second, "--wait", "14s")
        code, status = run.run_ctl("status")
        problems = [f"{len(codes) - codes.count(0)} changes not accepted: {codes}"
                    ] if codes.count(0) != len(codes) else []
        result = check_summary(loaded.stop_and_summarize(), problems)
        result.counts = (f"{len(codes)} changes in {race_count} races, status exit {code}; "
                         f"{result.counts}")
        return result


def lose_change_answer():
    """Loses the store's answer to an accepted change; its change id must tell the outcome."""
    with DeploymentUnderLoad(requests=20, streams=50) as loaded:
        run = loaded.run
        data_centre_name = run.data_centres[0]
        run.inject_fault({"lose_answers": 1})
        code, answer = run.run_ctl("data-centre", "out", data_centre_name, "--change-id", "lost-1")
        problems = []
        query_code, found = run.run_ctl("change", "lost-1")
        if query_code != 0:
            problems.append(f"change lost-1: exit {query_code}: {found}")
        if code not in (0, 3):
            problems.append(f"data-centre out: exit {code}: {answer}")
        run.run_ctl("data-centre", "in", data_centre_name, "--wait", "14s")
        return check_summary(loaded.stop_and_summarize(), problems)


def pause_across_changes():
    """Pauses processes during changes; once resumed they must not revert any."""
    with DeploymentUnderLoad(requests=20, streams=50) as loaded:
        run = loaded.run
        process = run.processes[run.balancers[0]]
        agent = run.processes[run.upstreams[0].name]
        for paused in (process, agent):
            paused.signal(signal.SIGSTOP)
        for word in ("out", "in", "out", "in"):
            run.run_ctl("data-centre", word, run.data_centres[1])
        time.sleep(LEASE_SECONDS + 1)
        lowest = min(revisions_by_process(run, {run.balancers[0], run.upstreams[0].name}).values())
        for paused in (process, agent):
            paused.signal(signal.SIGCONT)
        time.sleep(PROPAGATION_SECONDS)
        after = revisions_by_process(run, set())
        problems = [f"{name} is at revision {value}, below {lowest}"
                    for name, value in after.items() if value < lowest]
        return check_summary(loaded.stop_and_summarize(), problems, allow_broken=True)


def revisions_by_process(run, excluded):
    metrics_by_name = {item.name: item.metrics for item in run.upstreams}
    metrics_by_name.update({name: run.ports[name]["metrics"] for name in run.balancers})
    return {name: (try_http(metrics, "/status") or {"revision": -1})["revision"]
            for name, metrics in metrics_by_name.items() if name not in excluded}


def overload_upstreams():
    """Offers twice the capacity with one upstream slow and two of seven killed."""
    options = {"streams": 20, "uploads": 2, "requests": 0}
    run = Deployment("serumpun", service_time_ms=100)
    try:
        run.start()
        service = run.stream_service()
        items = run.upstreams_of_service(service.name)
        http(items[0].admin, "/slow", {"ms": 400})
        for item in items[-2:]:
            run.processes[item.name].signal(signal.SIGKILL)
        time.sleep(LEASE_SECONDS + 9)
        remaining = items[1:-2]
        # Requests per second that the remaining slots can serve: 100 ms each, 400 ms
        # at the slow upstream.
        possible_per_second = len(remaining) * service.slots / 0.1 + service.slots / 0.4
        offered_per_second = int(2 * possible_per_second)
        with Load(run, **{**options, "requests": offered_per_second}) as load:
            time.sleep(8)
            answered_before, started = load.summary()["requests"]["answered"], time.monotonic()
            time.sleep(8)
            rate = (load.summary()["requests"]["answered"] - answered_before) / (
                time.monotonic() - started)
            summary = load.stop_and_summarize()
        problems = [] if rate >= 0.9 * possible_per_second else [
            f"{rate:.0f} answers per second of {possible_per_second:.0f} possible"]
        result = check_summary(summary, problems)
        result.counts = (f"{offered_per_second} offered, {possible_per_second:.0f} possible, "
                         f"{rate:.0f} answered per second; {result.counts}")
        return result
    finally:
        run.stop()


UNIT = "unit"
PROCESS = "process"

# (promise, fault, kind, proof). A unit proof is a filter of bilberry_test.
PROOFS = [
    ("stream survives", "all balancers replaced in turn", PROCESS, replace_balancers_in_turn),
    ("stream survives", "all agents restarted in turn", PROCESS, restart_agents_in_turn),
    ("stream survives", "the same, store down in the middle", PROCESS,
     lambda: restart_agents_in_turn(store_down=True)),
    ("stream survives", "half the upstreams replaced at once", PROCESS, replace_half_the_upstreams),
    ("stream survives", "small networks of agents, all orders", UNIT,
     "FlowNetwork.*:Agents/FlowNetworkSizes.*"),
    ("right service only", "mixed-up members, forged service", UNIT,
     "BalancerRouter.Drops*:FlowController.Drops*:PeerLinksTest.Delivers*:"
     "UpstreamModelTest.CountsBodies*:MemberTable.MemberMoves*:RequestController.*Service*"),
    ("cold bears", "upstream killed and restarted", PROCESS, restart_cold_upstream),
    ("cold bears", "the same, health lies", PROCESS,
     lambda: restart_cold_upstream(false_health=True)),
    ("cold bears", "simulated upstream, naive limits caught", UNIT, "*Overrun*"),
    ("data centre out", "no other fault", PROCESS, take_data_centre_out),
    ("data centre out", "a balancer cut from the store", PROCESS,
     lambda: take_data_centre_out(without_store=True)),
    ("data centre out", "a balancer frozen across it", PROCESS,
     lambda: take_data_centre_out(freeze_balancer=True)),
    ("data centre out", "an agent there frozen across it", PROCESS,
     lambda: take_data_centre_out(freeze_an_agent=True)),
    ("data centre out", "a balancer joins during it", PROCESS,
     lambda: take_data_centre_out(add_balancer=True)),
    ("whole answer, own request", "copies, late and crossed answers", UNIT,
     "CallerMessage.*:CallerModelTest.*:RequestFaults.ACopyAfter*:RequestFaults.ACancel*"),
    ("at most once, true not run", "an agent killed", PROCESS, kill_agents),
    ("at most once, true not run", "two agents killed at once", PROCESS,
     lambda: kill_agents(2)),
    ("at most once, true not run", "an agent frozen past its lease, twice", PROCESS,
     freeze_agent),
    ("at most once, true not run", "exhaustive search, naive ones caught", UNIT,
     "RequestSearch.*:RequestArbiters.*"),
    ("at most once, true not run", "tables of faults at each step", UNIT,
     "RequestFaults.*:RequestController.*:RetiredReplica.*:UpstreamRunsTest.*"),
    ("leaving gets no new work", "the store down meanwhile", PROCESS, leave_with_store_down),
    ("at most once, true not run", "store down 10 s", PROCESS,
     lambda: store_fault({"down": "refuse"})),
    ("at most once, true not run", "store slow", PROCESS,
     lambda: store_fault({"slow_ms": 800})),
    ("at most once, true not run", "all leases expire", PROCESS,
     lambda: store_fault({"expire_lease": "all"})),
    ("at most once, true not run", "watches go silent", PROCESS,
     lambda: store_fault({"watch_silent": True})),
    ("planned stop cuts nothing", "an agent with uploads open", PROCESS,
     lambda: stop_agent_under_load("upload")),
    ("planned stop cuts nothing", "an agent with requests and streams", PROCESS,
     lambda: stop_agent_under_load("stream")),
    ("in force, never reverts", "two operators at once", PROCESS, concurrent_operators),
    ("in force, never reverts", "the answer to a change lost", PROCESS, lose_change_answer),
    ("in force, never reverts", "paused processes return", PROCESS, pause_across_changes),
    ("in force, never reverts", "tables of races, lost answers", UNIT,
     "TargetChanger.*:ChangeSafety.*:StoredTargets.*:ForceStatus.*"),
    ("overload", "twice the slots, one slow, a third gone", PROCESS, overload_upstreams),
    ("overload", "study in simulated time, naive ones beside", UNIT,
     "OverloadStudyTest.*:RetryBudgetTest.*:DeadlineQueueTest.*"),
]
