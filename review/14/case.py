"""An agent is killed between the first and the second heartbeat of its server."""

import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
from small_deployment import BROKEN, HELD, NOT_RUN, Client, Server, configuration, run_case

HEARTBEAT_S = 0.77
FLOWS = 4
STABLE_WINDOW_S = 4
IDLE_TIMEOUT_MS = 12000


def play(d, trouble):
    route = (d.ip(9, 1), 8443)
    balancer, side, other_side = d.ip(2, 1), d.ip(3, 1), d.ip(3, 2)
    d.store.write_as_operator("op/config", configuration(route, idle_ms=IDLE_TIMEOUT_MS))
    d.start("balancer", "front-z1-1", balancer)
    d.start("agent", "side-z1-1", side, service="svc")
    time.sleep(2)

    # The server counts its calls from 0. It starts during traffic, so it is cold.
    server = Server(d, side, "svc", "i-1", cold_s=2.0)
    server.seq = -1
    server.beat_forever(HEARTBEAT_S)
    if not d.wait_ready(balancer):
        return NOT_RUN
    client = Client(d, d.ip(4, 1), route)
    client.balancers = [balancer]
    flows = [f for f in (client.open(41000 + i) for i in range(FLOWS)) if f]
    answered = [client.request(f, "a-%d-1" % f["port"]) for f in flows]
    if len(flows) < FLOWS or not all(answered) or server.seq != 0:
        d.record.line("the flows didn't open before the second heartbeat")
        return NOT_RUN
    if trouble:
        d.stop("side-z1-1", signal.SIGKILL)
        time.sleep(0.1)
        d.start("agent", "side-z1-1", side, service="svc")
    # The clients pause for longer than the stable window, and much shorter than
    # the idle timeout.
    time.sleep(STABLE_WINDOW_S + 1.5)
    d.record.line("the clients use their flows again")
    for flow in flows:
        client.request(flow, "a-%d-2" % flow["port"])
    broken = client.resets_of_open_flows
    d.record.line("server i-1 lives; resets of its open flows: %d" % len(broken))
    return BROKEN if broken else HELD


run_case(HERE, play)
