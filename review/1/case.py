"""Replicas that are full now and then, two of which send a few of their answers a second time, late.

The requests may run once. The second copy comes where the answer to the next request on the connection
is expected. It bears the id of the request that it answers.
"""

import os
import sys
import threading
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from harness import BOUNDS, run_case  # noqa: E402

# All slots of the replicas are taken for so long, by other callers.
FULL_INTERVAL = 0.2
FULL_PERIOD = 0.01
# The replicas that send answers twice, the share of their answers that come twice, and for how long.
FAULTY = 2
COPY_SHARE = 0.03
COPY_PERIOD = 5.0
COPY_INTERVAL = 8.0
LENGTH = 72.0
DAEMONS = 6
WINDOW = BOUNDS["budgetWindowS"]


def run(case):
    started = case.record.now()

    def is_full():
        return (case.record.now() - started) % FULL_INTERVAL < FULL_PERIOD

    for index in range(3):
        replica = case.add_replica("receipt-desk", f"i-{index:02}", "kochi-fort")
        replica.start_beats(0.3 * index)
        replica.is_full = is_full
    case.configure(1, [("/renewal/", "unsafe", {"service": "receipt-desk"})], ["receipt-desk"])
    for number in range(1, DAEMONS + 1):
        case.add_daemon(f"front-kochi-fort-{number}", "kochi-fort")
    case.wait_until_ready()
    time.sleep(WINDOW + 1)
    stop = threading.Event()

    def call(daemon, caller):
        while not stop.is_set():
            case.send(daemon, "POST", "/renewal/", body=b"renew one plank", caller=caller)
            time.sleep(0.005)

    for index, daemon in enumerate(case.daemons):
        threading.Thread(target=call, args=(daemon, f"c{index}-"), daemon=True).start()
    end = case.record.now() + LENGTH
    while case.record.now() < end:
        for share, period in ((COPY_SHARE, COPY_PERIOD), (0.0, COPY_INTERVAL - COPY_PERIOD)):
            for replica in case.replicas[:FAULTY]:
                replica.copy_share = share if case.trouble else 0.0
            time.sleep(period)
    stop.set()
    time.sleep(1)
    for replica in case.replicas:
        case.record.write(f"{replica.name}: {replica.answers} answers, {replica.copies} of them twice")
    runs = {}
    for replica in case.replicas:
        for at, request, *_ in replica.runs:
            runs.setdefault(request, []).append((at, replica.name))
    broken = []
    for request, places in sorted(runs.items()):
        if len(places) > 1:
            text = ", ".join(f"at {at:.3f} at {name}" for at, name in places)
            broken.append(f"TWICE: {request} was run {len(places)} times: {text}")
    return broken


run_case(run)
