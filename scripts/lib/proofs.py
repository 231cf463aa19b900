"""The promises, each proved on a running deployment while something fails.

A proof starts a deployment of its own, makes load, causes its fault, and
returns a Result: the problems found, and the counts behind the verdict.
"""

import signal
import threading
import time

from deployment import Deployment, DeploymentError, http, try_http, wait_until
from load import Load, check_promises

# How long news may take to be everywhere: "a few seconds".
NEWS_SECONDS = 4.0
LEASE_SECONDS = 6.0


class Result:
    """What one proof saw."""

    def __init__(self, problems, counts):
        self.problems = problems
        self.counts = counts


def outcome(summary, problems=None, allow_broken=False, lost_ledger=False):
    """The usual verdict on a load's summary, with its counts.

    allow_broken: the fault kills or freezes the holder of flows, which isn't a
    planned change. lost_ledger: an upstream was killed, and what it had run
    can't be read any more.
    """
    ignored = []
    if allow_broken:
        ignored.append("flows broken")
    if lost_ledger:
        ignored.append("that no upstream ran")
    found = [text for text in check_promises(summary)
             if not any(word in text for word in ignored)]
    streams, requests = summary["streams"], summary["requests"]
    counts = (f"{streams['opened']} streams, {summary['broken_outside']} broken, "
              f"{summary['given_up']} given up, {summary['uploads']['closed']} uploads; "
              f"requests {requests['answered']} answered {requests['not_run']} not run "
              f"{requests['unknown'] + requests['no_outcome']} unknown; "
              f"max runs {summary['max_runs']}; overruns {summary['overruns']}")
    return Result(found + (problems or []), counts)


class Scene:
    """A started deployment under load. Use as a context manager."""

    def __init__(self, deployment="thibodeaux", **load):
        self.run = Deployment(deployment, log_level="info")
        self.load_options = {"streams": 200, "requests": 40, "uploads": 6, **load}
        self.load = None

    def __enter__(self):
        try:
            self.run.start()
            self.load = Load(self.run, **self.load_options)
            self.load.__enter__()
            self.load.wait_open()
        except BaseException:
            self.run.stop()
            raise
        return self

    def __exit__(self, kind, value, trace):
        self.load.process.stop()
        self.run.__exit__(kind, value, trace)

    def finish(self):
        return self.load.finish()


def restart_agent(run, upstream):
    """Restarts one agent in place, and waits until it serves again."""
    process = run.processes[upstream.name]
    process.signal(signal.SIGHUP)
    code = process.wait(30)
    if code != 0:
        raise DeploymentError(f"{upstream.name} ended with {code}")
    run.start_agent(upstream)
    wait_until(lambda: (try_http(upstream.metrics, "/status") or {}).get("upstream_connected"),
               f"{upstream.name} after its restart")


def replace_balancer(run, name):
    """Takes one balancer out of the fabric, replaces it, puts it back."""
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


def rolling_balancers():
    with Scene() as scene:
        problems = []
        for name in scene.run.balancers:
            problems += replace_balancer(scene.run, name)
        return outcome(scene.finish(), problems)


def rolling_agents(store_down=False):
    with Scene() as scene:
        agents = list(scene.run.upstreams)
        for number, upstream in enumerate(agents):
            if store_down and number == len(agents) // 3:
                scene.run.fault({"down": "refuse"})
            if store_down and number == 2 * len(agents) // 3:
                scene.run.fault({"heal": True})
            restart_agent(scene.run, upstream)
        time.sleep(2)
        return outcome(scene.finish())


def half_the_upstreams():
    """Half the upstreams are replaced at once; the old ones drain."""
    with Scene() as scene:
        run = scene.run
        old = [item for item in run.upstreams if item.name.split("-")[-1] in ("1", "2", "3")]
        for item in old:
            fresh = run.add_upstream(run.service(item.service),
                                     int(item.name.split("-")[-1]) + 100, item.data_centre)
            run.start_upstream(fresh)
        for item in old:
            run.processes[item.name].signal(signal.SIGTERM)
        time.sleep(NEWS_SECONDS)
        before = {item.name: http(item.admin, "/ledger")["flows_opened"] for item in old}
        time.sleep(NEWS_SECONDS)
        late = sum(http(item.admin, "/ledger")["flows_opened"] - before[item.name]
                   for item in old)
        problems = [f"{late} new flows at leaving upstreams"] if late else []
        summary = scene.finish()
        for item in old:
            code = run.processes[item.name].wait(30)
            text = run.processes[item.name].log.read_text(encoding="utf-8")
            if code != 0 or 'cut="0 flows, 0 requests, 0 shards"' not in text:
                problems.append(f"{item.name} cut something, exit {code}")
        return outcome(summary, problems)


def data_centre_out(freeze=False, cut_store=False, join=False, agent_freeze=False):
    with Scene() as scene:
        run = scene.run
        place = run.data_centres[-1]
        balancer = run.balancers[0]
        if cut_store:
            use_dead_store(run, balancer)
        frozen = []
        if freeze:
            frozen.append(run.processes[balancer])
        if agent_freeze:
            frozen.append(run.processes[next(
                item.name for item in run.upstreams if item.data_centre == place)])
        for process in frozen:
            process.signal(signal.SIGSTOP)
        code, _ = run.ctl("data-centre", "out", place)
        problems = [] if code == 0 else [f"data-centre out: exit {code}"]
        if join:
            run.balancers.append("balancer-9")
            run.plan_balancer("balancer-9")
            run.start_balancer("balancer-9")
            run.set_balancers(run.balancers)
        if frozen:
            time.sleep(LEASE_SECONDS + 2)
            for process in frozen:
                process.signal(signal.SIGCONT)
        time.sleep(NEWS_SECONDS)
        since = int(time.time()) + 1
        time.sleep(4)
        late = sum(http(item.admin, f"/ledger?since={since}")["arrivals"]
                   for item in run.upstreams if item.data_centre == place)
        if late:
            problems.append(f"{late} packets reached {place} after it was out")
        run.ctl("data-centre", "in", place, "--wait", "14s")
        time.sleep(3)
        back = sum(http(item.admin, f"/ledger?since={since}")["arrivals"]
                   for item in run.upstreams if item.data_centre == place)
        if back == 0:
            problems.append(f"{place} got nothing after it was back in")
        # A frozen process can break flows that it was carrying or passing on.
        return outcome(scene.finish(), problems, allow_broken=agent_freeze)


def use_dead_store(run, balancer):
    """Restarts a balancer so that it can't reach the store, only its peers."""
    process = run.processes[balancer]
    run.set_balancers([name for name in run.balancers if name != balancer])
    process.signal(signal.SIGTERM)
    process.wait(40)
    store, run.store = run.store, run.address()
    run.start_balancer(balancer)
    run.store = store
    wait_until(lambda: (try_http(run.ports[balancer]["metrics"], "/status") or {}).get("revision"),
               f"{balancer} without the store")
    run.set_balancers(run.balancers)


def kill_agents(count=1):
    """Agents die without warning; a non-idempotent request still runs once."""
    with Scene(requests=80) as scene:
        run = scene.run
        service = run.stream_service().name
        for item in run.of_service(service)[:count]:
            run.processes[item.name].signal(signal.SIGKILL)
        time.sleep(LEASE_SECONDS + 9)
        answered = scene.load.summary()["requests"]["answered"]
        time.sleep(3)
        more = scene.load.summary()["requests"]["answered"] - answered
        problems = [] if more > 60 else [f"only {more} requests answered in the 3 s at the end"]
        return outcome(scene.finish(), problems, allow_broken=True)


def freeze_agent():
    """An agent is paused for longer than its lease, then goes on."""
    with Scene(requests=80) as scene:
        run = scene.run
        process = run.processes[run.of_service(run.stream_service().name)[0].name]
        for _ in range(2):
            process.signal(signal.SIGSTOP)
            time.sleep(LEASE_SECONDS + 3)
            process.signal(signal.SIGCONT)
            time.sleep(3)
        return outcome(scene.finish(), allow_broken=True)


def store_fault(body, seconds=10.0):
    with Scene() as scene:
        scene.run.fault(body)
        time.sleep(seconds)
        scene.run.fault({"heal": True})
        time.sleep(3)
        return outcome(scene.finish())


def cold_upstream(lie=False):
    """An upstream restarts without warning, or lies about its health."""
    with Scene(requests=120) as scene:
        run = scene.run
        item = run.of_service(run.stream_service().name)[0]
        if lie:
            for upstream in run.upstreams:
                http(upstream.admin, "/lie", {"state": "ok", "load": 0.0})
        process = run.processes[item.upstream_process]
        process.signal(signal.SIGKILL)
        process.wait()
        run.start_upstream_process(item)
        time.sleep(8)
        served = http(item.admin, "/ledger")["runs"]
        problems = [] if served else ["the restarted upstream ran nothing"]
        return outcome(scene.finish(), problems, allow_broken=True, lost_ledger=True)


def upstream_leaves_service(service_kind):
    """SIGTERM to an agent under load: it drains and says that nothing was cut."""
    with Scene(uploads=12, requests=80) as scene:
        run = scene.run
        service = run.upload_service() if service_kind == "upload" else run.stream_service()
        item = run.of_service(service.name)[0]
        run.processes[item.name].signal(signal.SIGTERM)
        time.sleep(NEWS_SECONDS)
        problems = []
        summary = scene.finish()
        code = run.processes[item.name].wait(30)
        text = run.processes[item.name].log.read_text(encoding="utf-8")
        if code != 0 or 'cut="0 flows, 0 requests, 0 shards"' not in text:
            problems.append(f"{item.name} cut something, exit {code}")
        return outcome(summary, problems)


def leave_with_store_down():
    """An agent drains while nobody can learn of it from the store."""
    with Scene(requests=80) as scene:
        run = scene.run
        item = run.of_service(run.stream_service().name)[0]
        run.fault({"down": "refuse"})
        run.processes[item.name].signal(signal.SIGTERM)
        time.sleep(NEWS_SECONDS)
        before = http(item.admin, "/ledger")
        time.sleep(NEWS_SECONDS)
        after = http(item.admin, "/ledger")
        problems = [f"{after[key] - before[key]} more {key} at the leaving upstream"
                    for key in ("flows_opened", "runs") if after[key] != before[key]]
        run.fault({"heal": True})
        time.sleep(NEWS_SECONDS)
        summary = scene.finish()
        code = run.processes[item.name].wait(30)
        if code != 0:
            problems.append(f"{item.name} ended with {code}")
        return outcome(summary, problems)


def operator_race():
    """Two operators change different entries at once, again and again."""
    with Scene(requests=20, streams=50) as scene:
        run = scene.run
        first, second = run.data_centres[0], run.data_centres[1]
        codes = []

        def turn(word, place):
            code, _ = run.ctl("data-centre", word, place)
            codes.append(code)

        rounds = 6
        for number in range(rounds):
            words = ("out", "in") if number % 2 == 0 else ("in", "out")
            threads = [threading.Thread(target=turn, args=(word, place))
                       for word, place in zip(words, (first, second))]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join()
        run.ctl("data-centre", "in", first)
        run.ctl("data-centre", "in", second, "--wait", "14s")
        code, status = run.ctl("status")
        problems = [f"{len(codes) - codes.count(0)} changes not accepted: {codes}"
                    ] if codes.count(0) != len(codes) else []
        result = outcome(scene.finish(), problems)
        result.counts = f"{len(codes)} changes in {rounds} races, status exit {code}; {result.counts}"
        return result


def lost_answer():
    """The store takes a change and its answer is lost; the id settles it."""
    with Scene(requests=20, streams=50) as scene:
        run = scene.run
        place = run.data_centres[0]
        run.fault({"lose_answers": 1})
        code, answer = run.ctl("data-centre", "out", place, "--change-id", "lost-1")
        problems = []
        settle, found = run.ctl("change", "lost-1")
        if settle != 0:
            problems.append(f"change lost-1: exit {settle}: {found}")
        if code not in (0, 3):
            problems.append(f"data-centre out: exit {code}: {answer}")
        run.ctl("data-centre", "in", place, "--wait", "14s")
        return outcome(scene.finish(), problems)


def never_reverts():
    """A process that was paused across changes comes back and reverts nothing."""
    with Scene(requests=20, streams=50) as scene:
        run = scene.run
        process = run.processes[run.balancers[0]]
        agent = run.processes[run.upstreams[0].name]
        for each in (process, agent):
            each.signal(signal.SIGSTOP)
        for word in ("out", "in", "out", "in"):
            run.ctl("data-centre", word, run.data_centres[1])
        time.sleep(LEASE_SECONDS + 1)
        lowest = min(seen_revisions(run, {run.balancers[0], run.upstreams[0].name}).values())
        for each in (process, agent):
            each.signal(signal.SIGCONT)
        time.sleep(NEWS_SECONDS)
        after = seen_revisions(run, set())
        problems = [f"{name} is at revision {value}, below {lowest}"
                    for name, value in after.items() if value < lowest]
        return outcome(scene.finish(), problems, allow_broken=True)


def seen_revisions(run, without):
    pages = {item.name: item.metrics for item in run.upstreams}
    pages.update({name: run.ports[name]["metrics"] for name in run.balancers})
    return {name: (try_http(page, "/status") or {"revision": -1})["revision"]
            for name, page in pages.items() if name not in without}


def overload():
    """Twice the slots offered, one upstream slow, a third of them gone."""
    options = {"streams": 20, "uploads": 2, "requests": 0}
    run = Deployment("serumpun", service_time_ms=100)
    try:
        run.start()
        service = run.stream_service()
        items = run.of_service(service.name)
        http(items[0].admin, "/slow", {"ms": 400})
        for item in items[-2:]:
            run.processes[item.name].signal(signal.SIGKILL)
        time.sleep(LEASE_SECONDS + 9)
        left = items[1:-2]
        # Requests a second that the remaining slots can do.
        possible = len(left) * service.slots / 0.1 + service.slots / 0.4
        offered = int(2 * possible)
        with Load(run, **{**options, "requests": offered}) as load:
            time.sleep(8)
            begin, start = load.summary()["requests"]["answered"], time.monotonic()
            time.sleep(8)
            rate = (load.summary()["requests"]["answered"] - begin) / (time.monotonic() - start)
            summary = load.finish()
        problems = [] if rate >= 0.9 * possible else [
            f"{rate:.0f} answers a second of {possible:.0f} possible"]
        result = outcome(summary, problems)
        result.counts = (f"{offered} offered, {possible:.0f} possible, {rate:.0f} answered "
                         f"a second; {result.counts}")
        return result
    finally:
        run.stop()


UNIT = "unit"
PROCESS = "process"

# (promise, fault, kind, proof). A unit proof is a filter of bilberry_test.
PROOFS = [
    ("stream survives", "all balancers replaced in turn", PROCESS, rolling_balancers),
    ("stream survives", "all agents restarted in turn", PROCESS, rolling_agents),
    ("stream survives", "the same, store down in the middle", PROCESS,
     lambda: rolling_agents(store_down=True)),
    ("stream survives", "half the upstreams replaced at once", PROCESS, half_the_upstreams),
    ("stream survives", "small networks of agents, all orders", UNIT,
     "FlowNetwork.*:Agents/FlowNetworkSizes.*"),
    ("right service only", "mixed-up members, forged service", UNIT,
     "BalancerRouter.Drops*:FlowController.Drops*:PeerLinksTest.Delivers*:"
     "UpstreamModelTest.CountsBodies*:MemberTable.MemberMoves*:RequestController.*Service*"),
    ("cold bears", "upstream killed and restarted", PROCESS, cold_upstream),
    ("cold bears", "the same, health lies", PROCESS, lambda: cold_upstream(lie=True)),
    ("cold bears", "simulated upstream, naive limits caught", UNIT, "*Overrun*"),
    ("data centre out", "no other fault", PROCESS, data_centre_out),
    ("data centre out", "a balancer cut from the store", PROCESS,
     lambda: data_centre_out(cut_store=True)),
    ("data centre out", "a balancer frozen across it", PROCESS,
     lambda: data_centre_out(freeze=True)),
    ("data centre out", "an agent there frozen across it", PROCESS,
     lambda: data_centre_out(agent_freeze=True)),
    ("data centre out", "a balancer joins during it", PROCESS,
     lambda: data_centre_out(join=True)),
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
     lambda: upstream_leaves_service("upload")),
    ("planned stop cuts nothing", "an agent with requests and streams", PROCESS,
     lambda: upstream_leaves_service("stream")),
    ("in force, never reverts", "two operators at once", PROCESS, operator_race),
    ("in force, never reverts", "the answer to a change lost", PROCESS, lost_answer),
    ("in force, never reverts", "paused processes return", PROCESS, never_reverts),
    ("in force, never reverts", "tables of races, lost answers", UNIT,
     "TargetChanger.*:ChangeSafety.*:StoredTargets.*:ForceStatus.*"),
    ("overload", "twice the slots, one slow, a third gone", PROCESS, overload),
    ("overload", "study in simulated time, naive ones beside", UNIT,
     "OverloadStudyTest.*:RetryBudgetTest.*:DeadlineQueueTest.*"),
]
