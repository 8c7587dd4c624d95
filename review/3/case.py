"""Replicas drain while the daemons that read the store for the others have lost power.

The two daemons of kozhikode-beach read the store, the two of kollam-port ask them. The first two are
stopped, so that they answer nothing and refuse no connection, and are killed at the end. Then one replica
after the other reports that it drains, and another one takes its place. Callers go on sending requests to
the other two daemons.
"""

import os
import signal
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from harness import BOUNDS, run_case  # noqa: E402

REPLICAS = 4
DRAINS = 16
DRAIN_INTERVAL = 0.8
SETTLE = BOUNDS["settleWindowMs"] / 1000
BOUND = BOUNDS["drainMs"] / 1000


def run(case):
    def add_replica():
        replica = case.add_replica("receipt-desk", f"i-{len(case.replicas):02}", "kollam-port")
        replica.start_beats(case.record.now() + 0.3)

    for _ in range(REPLICAS):
        add_replica()
    routes = [("/receipt/", "safe", {"service": "receipt-desk"})]
    case.configure(1, routes, ["receipt-desk"])
    lost = [case.add_daemon(f"front-kozhikode-beach-{n}", "kozhikode-beach") for n in (1, 2)]
    kept = [case.add_daemon(f"front-kollam-port-{n}", "kollam-port") for n in (1, 2)]
    case.wait_until_ready()
    time.sleep(SETTLE + 1)
    if case.trouble:
        for daemon in lost:
            daemon.signal(signal.SIGSTOP)
            case.record.write(f"trouble  {daemon.name} has lost power")
    stop = threading.Event()

    def call(daemon, caller):
        while not stop.is_set():
            case.send(daemon, "GET", f"/receipt/{caller}/", caller=caller)
            time.sleep(0.01)

    for index, daemon in enumerate(kept * 2):
        threading.Thread(target=call, args=(daemon, f"c{index}-"), daemon=True).start()
    time.sleep(2)
    drained = {}
    for index in range(DRAINS):
        add_replica()
        replica = case.replicas[index]
        drained[replica] = replica.drain()
        case.record.write(f"replica  {replica.name} is draining, acknowledged", drained[replica])
        time.sleep(DRAIN_INTERVAL)
    time.sleep(5)
    stop.set()
    time.sleep(0.5)
    broken = []
    for replica, acknowledged in drained.items():
        late = [(at, request) for at, request, *_ in replica.runs if at > acknowledged + BOUND]
        for at, request in late:
            broken.append(f"DRAIN: {request} reached {replica.name} {at - acknowledged:.3f} s after the "
                          "store had acknowledged that it drains")
    return broken


run_case(run)
