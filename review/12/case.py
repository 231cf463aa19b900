"""A zone is lost while balancers are added; open flows elsewhere are reset."""

import os
import signal
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
from small_deployment import BROKEN, HELD, NOT_RUN, Client, Server, configuration, run_case

HEARTBEAT_S = 1.2
FLOWS = 40
# Ports whose flows the routers' hash sends to the first balancer, to the second
# one once there are two, and to the first one again once there are three.
PORTS = [port for port in range(44000, 44000 + 6 * FLOWS) if port % 2 == 1 and port % 3 == 0]
# A balancer leaves the rotation after two failed checks, half a second apart.
CHECKS_S = 1.0


def play(d, trouble):
    route = (d.ip(9, 1), 8443)
    balancer_a, balancer_b, balancer_d, balancer_c = (d.ip(2, n) for n in (1, 2, 3, 4))
    side_x, side_y = d.ip(3, 1), d.ip(3, 2)
    d.store.write_as_operator("op/config", configuration(route))
    # Zone za has a balancer, zb a balancer and a server, zc a server.
    d.start("balancer", "front-za-1", balancer_a, zone="za")
    d.start("balancer", "front-zb-1", balancer_c, zone="zb")
    d.start("agent", "side-zb-1", side_x, zone="zb", service="svc")
    d.start("agent", "side-zc-1", side_y, zone="zc", service="svc")
    time.sleep(1)
    server_x = Server(d, side_x, "svc", "i-x", zone="zb")
    server_x.beat_forever(HEARTBEAT_S)
    server_y = Server(d, side_y, "svc", "i-y", zone="zc")
    server_y.beat_forever(HEARTBEAT_S)
    if not d.wait_ready(balancer_a) or not d.wait_ready(balancer_c):
        return NOT_RUN
    time.sleep(5)

    # Clients of zb. Without a balancer there, the routers use the nearest zones.
    client = Client(d, d.ip(4, 1), route)
    if trouble:
        d.record.line("zone zb loses power")
        server_x.crash()
        d.stop("side-zb-1", signal.SIGKILL)
        d.stop("front-zb-1", signal.SIGKILL)
    else:
        d.processes["front-zb-1"].send_signal(signal.SIGTERM)
        d.record.line("SIGTERM to front-zb-1")
    time.sleep(CHECKS_S)
    client.balancers = [balancer_a]
    # Two machines are added, one after the other.
    d.start("balancer", "front-zc-1", balancer_b, zone="zc")
    if not d.wait_ready(balancer_b):
        return NOT_RUN
    flows = []

    def open_flow(port):
        flow = client.open(port)
        if flow:
            flows.append(flow)
            client.request(flow, "a-%d-1" % port)

    threads = [threading.Thread(target=open_flow, args=(port,)) for port in PORTS]
    for thread in threads:
        thread.start()
    time.sleep(0.1)
    client.balancers = [balancer_a, balancer_b]
    d.record.line("front-zc-1 is in rotation")
    time.sleep(1)
    d.start("balancer", "front-za-2", balancer_d, zone="za")
    if not d.wait_ready(balancer_d):
        return NOT_RUN
    time.sleep(0.5)
    for thread in threads:
        thread.join()
    d.record.line("%d of %d flows are open; front-za-2 is in rotation" % (len(flows), FLOWS))
    client.balancers = [balancer_a, balancer_b, balancer_d]
    uses = [threading.Thread(target=client.request, args=(f, "a-%d-2" % f["port"], 6.0))
            for f in flows]
    for use in uses:
        use.start()
    for use in uses:
        use.join()
    live = {p for (_, p, _, _), s in server_y.flows.items() if s["open"]}
    if not trouble:
        live |= {p for (_, p, _, _), s in server_x.flows.items() if s["open"]}
    broken = [port for _, port in client.resets_of_open_flows if port in live]
    d.record.line("resets of open flows whose server lives undisturbed: %d of %d"
                  % (len(broken), len(flows)))
    return BROKEN if broken else HELD


run_case(HERE, play)
