"""Runs the benchmarks: ``python -m almonddeal_tools.bench [part ...]``."""

import anyio
import click

from almonddeal_tools.bench import detectors
from almonddeal_tools.bench.cancel import CancelBench
from almonddeal_tools.bench.claims import ClaimBench
from almonddeal_tools.bench.control import ControlBench
from almonddeal_tools.bench.path import PathBench
from almonddeal_tools.bench.resource import ResourceBench
from almonddeal_tools.bench.resume import ResumeBench
from almonddeal_tools.fleet import Fleet

ENGINE = {"slots": 128, "token_ms": 10.0, "batch_ms": 0.02, "prefill_us": 100.0}
# 200 streams share the processors with the stand-ins, so tokens come at the pace of
# the brief's 45 ms there.
SLOW_ENGINE = {**ENGINE, "token_ms": 40.0}


def _run_resume():
    with Fleet(engine_options=ENGINE) as fleet:
        anyio.run(ResumeBench(fleet, "keystone").run_kill)
        anyio.run(ResumeBench(fleet, "tujenge").run)


def _run_resource():
    for customer in ("keystone", "tujenge"):
        with Fleet(engine_options=ENGINE) as fleet:
            anyio.run(ResourceBench(fleet, customer).run)


def _run_path():
    with Fleet(engine_options=SLOW_ENGINE) as fleet:
        anyio.run(PathBench(fleet).run)


def _run_claims():
    with Fleet() as fleet:
        anyio.run(ClaimBench(fleet).run)


def _run_cancel():
    with Fleet(engine_options={**ENGINE, "report_lag_ms": 0}) as fleet:
        anyio.run(CancelBench(fleet).run)


def _run_control():
    with Fleet() as fleet:
        ControlBench(fleet).run()


PARTS = {
    "detectors": detectors.run,
    "resume": _run_resume,
    "resource": _run_resource,
    "path": _run_path,
    "cancel": _run_cancel,
    "claims": _run_claims,
    "control": _run_control,
}


@click.command()
@click.argument("parts", nargs=-1, type=click.Choice(list(PARTS)))
def main(parts):
    """Run the benchmarks, or only some parts of them."""
    for part in parts or PARTS:
        PARTS[part]()


if __name__ == "__main__":
    main()
