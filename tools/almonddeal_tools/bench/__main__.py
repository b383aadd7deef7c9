"""Runs the benchmarks: ``python -m almonddeal_tools.bench [part ...]``."""

import anyio
import click

from almonddeal_tools.bench import detectors, events
from almonddeal_tools.bench.cancel import CancelBench
from almonddeal_tools.bench.claims import ClaimBench
from almonddeal_tools.bench.control import ControlBench
from almonddeal_tools.bench.path import PathBench
from almonddeal_tools.bench.resource import ResourceBench
from almonddeal_tools.bench.resume import ResumeBench
from almonddeal_tools.fleet import Fleet

ENGINE_OPTIONS = {"slots": 128, "token_ms": 10.0, "batch_ms": 0.02, "prefill_us": 100.0}
# The 200 streams of the path benchmark share the CPUs with the stand-ins. At 40 ms a
# token, the tokens then arrive at the required interval of 45 ms.
SLOW_ENGINE_OPTIONS = {**ENGINE_OPTIONS, "token_ms": 40.0}


def _run_resume():
    with Fleet(engine_options=ENGINE_OPTIONS) as fleet:
        anyio.run(ResumeBench(fleet, "keystone").run_engine_kills)
        anyio.run(ResumeBench(fleet, "tujenge").run)


def _run_resource():
    for customer in ("keystone", "tujenge"):
        with Fleet(engine_options=ENGINE_OPTIONS) as fleet:
            anyio.run(ResourceBench(fleet, customer).run)


def _run_path():
    with Fleet(engine_options=SLOW_ENGINE_OPTIONS) as fleet:
        anyio.run(PathBench(fleet).run)


def _run_claims():
    with Fleet() as fleet:
        anyio.run(ClaimBench(fleet).run)


def _run_cancel():
    with Fleet(engine_options={**ENGINE_OPTIONS, "report_lag_ms": 0}) as fleet:
        anyio.run(CancelBench(fleet).run)


def _run_control():
    with Fleet() as fleet:
        ControlBench(fleet).run()


BENCHMARK_BY_NAME = {
    "detectors": detectors.run,
    "events": events.run,
    "resume": _run_resume,
    "resource": _run_resource,
    "path": _run_path,
    "cancel": _run_cancel,
    "claims": _run_claims,
    "control": _run_control,
}


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(list(BENCHMARK_BY_NAME)))
def main(parts):
    """Run the benchmarks, or only some parts of them."""
    for part in parts or BENCHMARK_BY_NAME:
        BENCHMARK_BY_NAME[part]()


if __name__ == "__main__":
    main()
