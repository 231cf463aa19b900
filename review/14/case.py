"""A server that crashes and is back within 0.2 s is flooded while it is cold."""

import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
from small_deployment import BROKEN, HELD, NOT_RUN, Client, Server, configuration, run_case

HEARTBEAT_S = 1.2
# The new incarnation's first heartbeat comes within one interval.
FIRST_HEARTBEAT_S = 0.3
DOWN_S = 0.2
COLD_S = 2.0
WARMUP_PER_S, WARMUP_FACTOR, WARMUP_TOLERANCE = 0.0, 1.5, 5
ALLOWED = WARMUP_PER_S * WARMUP_FACTOR + WARMUP_TOLERANCE
# New flows a second, each with one request of 5 ms.
RATE = 40


def most_in_a_second(times):
    return max((sum(1 for t in times if s <= t < s + 1) for s in times), default=0)


def play(d, trouble):
    route = (d.ip(9, 1), 8443)
    balancer, side = d.ip(2, 1), d.ip(3, 1)
    d.store.write_as_operator("op/config", configuration(route, warmup_per_s=WARMUP_PER_S))
    d.start("balancer", "front-z1-1", balancer)
    d.start("agent", "side-z1-1", side, service="svc")
    time.sleep(1)
    server = Server(d, side, "svc", "i-1")
    server.beat_forever(HEARTBEAT_S)
    if not d.wait_ready(balancer):
        return NOT_RUN
    client = Client(d, d.ip(4, 1), route)
    client.balancers = [balancer]
    stop, working, lock = threading.Event(), set(), threading.Lock()

    def use(port):
        with lock:
            working.add(port)
        flow = client.open(port)
        if flow:
            client.request(flow, "a-%d" % port)
            client.close(flow)
        with lock:
            working.discard(port)

    def load():
        port = 43000
        while not stop.is_set():
            threading.Thread(target=use, args=(port,), daemon=True).start()
            port += 1
            time.sleep(1 / RATE)

    threading.Thread(target=load, daemon=True).start()
    time.sleep(6)
    if len(server.opened) < RATE:
        return NOT_RUN
    cold = None
    if trouble:
        # No request is under way when the server crashes.
        while True:
            with lock:
                if not working:
                    server.crash()
                    break
            time.sleep(0.001)
        time.sleep(DOWN_S)
        cold = Server(d, side, "svc", "i-2", cold_s=COLD_S)
        cold.beat_forever(HEARTBEAT_S, first=FIRST_HEARTBEAT_S)
        d.record.line("server i-2 takes packets, and is cold for %.1f s" % COLD_S)
    time.sleep(COLD_S + 0.5)
    stop.set()
    time.sleep(0.5)
    while_cold = [t for t in cold.opened if t - cold.started < COLD_S] if cold else []
    most = most_in_a_second(while_cold)
    d.record.line("requests opened at the cold server: %d, most in one second: %d, allowed: %d"
                  % (len(while_cold), most, ALLOWED))
    return BROKEN if most > ALLOWED else HELD


run_case(HERE, play)
