"""Measures how the cost of each role grows with the fleet, for docs/CAPACITY.md.

Each line of output gives a quantity at several sizes and the slope between them.
Targets are objects in this process; agents are simulated links to a real entry
instance.
"""

import json
import random
import sys
import time
import tracemalloc

import click

from almonddeal.control.replica import DocumentReplica
from almonddeal.control.state import ControlState
from almonddeal.document.diff import make_changes
from almonddeal.document.model import FleetDocument
from almonddeal.document.validate import validate_document
from almonddeal.limits.buckets import CustomerLimits
from almonddeal.rollout.planner import next_steps, observe_engine
from almonddeal.targets.choose import two_choices, with_affinity
from almonddeal.targets.directory import Target, TargetDirectory
from almonddeal_common.replicas.store import AnswerStore
from almonddeal_common.wire.codec import encode, encode_frame
from almonddeal_common.wire.gen.ttypes import (
    Announce,
    AnnounceReply,
    AnswerSpec,
    Append,
    AppendLog,
    ChangeDocument,
    Command,
    LogEntry,
    PeerDigest,
    Phase,
)
from almonddeal_tools.documents import sha256_hex
from almonddeal_tools.slope_points import N_MODELS, make_target_state, print_series
from almonddeal_tools.slopes_fleet import measure_agent, measure_followers

N_REPEATS = 200


def measure_us(function, n_repeats=N_REPEATS):
    """Return the mean CPU time of one call, in us."""
    started = time.process_time()
    for _ in range(n_repeats):
        function()
    return (time.process_time() - started) / n_repeats * 1e6


def make_document(n_customers):
    """Return a fleet document with a number of customers, as a dict."""
    customers = {
        f"customer{n}": {
            "key_sha256": [sha256_hex(f"key{n}")],
            "models": ["m0", "m1"],
            "limits": {"requests_per_s": 50, "burst": 100, "max_streams": 20},
            "resume": {"copies": 2},
        }
        for n in range(n_customers)
    }
    models = {f"m{n}": {"version": "v1"} for n in range(N_MODELS)}
    return {"format": 1, "customers": customers, "models": models, "services": {}}


def with_changed_customer(raw):
    """Return a copy of a document with one customer changed."""
    new = json.loads(json.dumps(raw))
    new["customers"]["customer7"]["limits"]["burst"] = 7
    return new


def measure_memory_mb(make_object):
    """Return the memory, in MB, of the object that `make_object` returns."""
    tracemalloc.start()
    measured_object = make_object()
    used_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del measured_object
    return used_bytes / 1e6


def measure_document():
    """Measure size and validation of the document by the number of customers."""
    sizes = (1000, 5000, 20_000)
    raws = [make_document(n) for n in sizes]
    print_series(
        "document as JSON, over customers",
        "KB",
        [(n, len(json.dumps(r)) / 1e3) for n, r in zip(sizes, raws, strict=True)],
    )
    print_series(
        "document in memory, over customers",
        "MB",
        [
            (n, measure_memory_mb(lambda n=n: FleetDocument(1, make_document(n))))
            for n in sizes
        ],
    )
    print_series(
        "validate a document, over customers",
        "ms",
        [
            (n, measure_us(lambda r=r: validate_document(r), 1) / 1e3)
            for n, r in zip(sizes, raws, strict=True)
        ],
    )
    print_series(
        "validate a document against the one before, over customers",
        "ms",
        [
            (
                n,
                measure_us(
                    lambda r=r: validate_document(with_changed_customer(r), r), 1
                )
                / 1e3,
            )
            for n, r in zip(sizes, raws, strict=True)
        ],
    )
    measure_changes(sizes, raws)


def measure_changes(sizes, raws):
    """Measure a change to one customer by the number of customers."""
    points_diff, points_apply, points_bytes = [], [], []
    for n_customers, raw in zip(sizes, raws, strict=True):
        new = with_changed_customer(raw)
        patch = make_changes(raw, new)
        state = ControlState()
        state.document = FleetDocument(1, raw)
        command = ChangeDocument("id", 1, "olu", "10.0.0.1", patch, 1, "")
        entry = LogEntry(1, 1, 1, encode(Command(change=command)))
        points_diff.append(
            (
                n_customers,
                measure_us(lambda a=raw, b=new: make_changes(a, b), 1) / 1e3,
            )
        )
        points_bytes.append((n_customers, len(encode(entry))))
        points_apply.append(
            (
                n_customers,
                measure_us(lambda s=state, c=command: s.apply(2, Command(change=c)), 1)
                / 1e3,
            )
        )
    print_series("make the patch of one change, over customers", "ms", points_diff)
    print_series("apply one change, over customers", "ms", points_apply)
    print_series("one change on the wire, over customers", "bytes", points_bytes)


def measure_messages():
    """Measure the size of the periodic messages and of appends."""
    sizes = (10, 100, 620)
    digests = [
        PeerDigest("entry1", 5000, [make_target_state(n) for n in range(size)], {}, [])
        for size in sizes
    ]
    print_series(
        "digest between entry instances, over targets heard here",
        "bytes",
        [
            (size, len(encode_frame(Phase.NOTICE, 0, digest)))
            for size, digest in zip(sizes, digests, strict=True)
        ],
    )
    announce_bytes = len(
        encode_frame(Phase.CALL, 1, Announce(make_target_state(1), 5000))
    )
    reply_bytes = len(
        encode_frame(Phase.REPLY, 1, AnnounceReply(5000, 300, False, 3000, True, 1))
    )
    print_series(
        "announcement and its reply, over entry instances announced to",
        "bytes",
        [(n, n * (announce_bytes + reply_bytes)) for n in (1, 3, 10)],
    )
    entries = [LogEntry(1, n, 1, b"x" * 300) for n in range(100)]
    print_series(
        "log entries to one follower, over entries of 300 bytes",
        "bytes",
        [
            (
                n,
                len(
                    encode_frame(Phase.CALL, 1, AppendLog(1, "e", 1, 1, entries[:n], 1))
                ),
            )
            for n in (0, 10, 100)
        ],
    )
    spec = AnswerSpec(request="k:1", prompt="", settings_json="{}")
    print_series(
        "append of tokens to one holder, over tokens",
        "bytes",
        [
            (
                n,
                len(
                    encode(
                        Append(
                            "kite:0123456789abcdef", 65537, 9, [1] * n, [" word"] * n
                        )
                    )
                ),
            )
            for n in (1, 10, 100)
        ],
    )
    assert spec is not None


def measure_routing():
    """Measure target selection and rollout planning by the number of targets."""
    points, points_memory = [], []
    document = FleetDocument(1, make_document(10))
    replica = DocumentReplica(None)
    for n_targets in (20, 200, 620):
        targets = [Target(make_target_state(n)) for n in range(n_targets)]
        choose = with_affinity(two_choices(random.Random(1)))
        numbers = iter(range(10**9))

        directory = TargetDirectory(replica, None, lambda: None)
        for target in targets:
            directory.update(target.state)

        def decide(directory=directory, choose=choose, numbers=numbers):
            fitting = directory.serving("m3", "v1")
            choose(fitting, f"prompt {next(numbers)}")

        points.append((n_targets, measure_us(decide)))
        points_memory.append(
            (
                n_targets,
                measure_memory_mb(
                    lambda n=n_targets: [Target(make_target_state(k)) for k in range(n)]
                ),
            )
        )
    print_series("one routing decision, over targets", "us", points)
    print_series("targets in memory, over targets", "MB", points_memory)
    print_series(
        "one look of the rollout planner, over targets",
        "ms",
        [
            (
                n,
                measure_us(
                    lambda n=n: next_steps(
                        document,
                        [
                            observe_engine(Target(make_target_state(k)))
                            for k in range(n)
                        ],
                        set(),
                    ),
                    3,
                )
                / 1e3,
            )
            for n in (20, 200, 620)
        ],
    )


def measure_limits():
    """Measure rate limits by the number of active customers."""
    points, points_memory = [], []
    for n_customers in (1000, 20_000):
        document = FleetDocument(1, make_document(n_customers))
        customers = list(document.customer_by_name.values())
        limits = CustomerLimits(lambda: 1, lambda customer: 0)
        numbers = iter(range(10**9))

        def check(limits=limits, customers=customers, numbers=numbers):
            limits.check_rate(customers[next(numbers) % len(customers)])

        points.append((n_customers, measure_us(check, 1000)))

        def fill_limits(customers=customers):
            filled_limits = CustomerLimits(lambda: 1, lambda customer: 0)
            for customer in customers:
                filled_limits.check_rate(customer)
            return filled_limits

        points_memory.append((n_customers, measure_memory_mb(fill_limits)))
    print_series("check of one request's rate, over customers", "us", points)
    print_series("buckets in memory, over customers", "MB", points_memory)


def measure_answer_store():
    """Measure answer replicas in memory by the number of tokens."""

    def fill_store(n_tokens):
        store = AnswerStore()
        spec = AnswerSpec(request="k:1", customer="k", prompt="p", settings_json="{}")
        for index in range(n_tokens):
            store.append(
                Append(
                    request="k:1",
                    epoch=1,
                    index=index,
                    tokens=[index],
                    texts=[f" {index:08x}"],
                    finish_reason="",
                    spec=spec if index == 0 else None,
                    holders=["a"],
                )
            )
        return store

    sizes = (1000, 10_000, 50_000)
    print_series(
        "held tokens in memory, over tokens",
        "MB",
        [(n, measure_memory_mb(lambda n=n: fill_store(n))) for n in sizes],
    )
    print_series(
        "take one appended token, over tokens held",
        "us",
        [(n, measure_us(lambda n=n: fill_store(n), 1) / n) for n in sizes],
    )


MEASUREMENT_BY_NAME = {
    "document": measure_document,
    "messages": measure_messages,
    "routing": measure_routing,
    "limits": measure_limits,
    "holding": measure_answer_store,
    "agent": measure_agent,
    "followers": measure_followers,
}


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(list(MEASUREMENT_BY_NAME)))
def main(parts):
    """Measure the slopes, or only some parts of them."""
    for part in parts or MEASUREMENT_BY_NAME:
        MEASUREMENT_BY_NAME[part]()


if __name__ == "__main__":
    sys.exit(main())
