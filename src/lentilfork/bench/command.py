"""The command `lentilfork-bench`: compare systems, record traces, measure costs."""

import asyncio
import json
import tempfile
from dataclasses import asdict
from pathlib import Path
from typing import ClassVar
from typing import Final

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option

from lentilfork.bench.caller_group import CallerGroup
from lentilfork.bench.capacity import measure_capacity
from lentilfork.bench.capacity import write_capacity
from lentilfork.bench.capacity_page import fill_page
from lentilfork.bench.deployment import Deployment
from lentilfork.bench.description import DeploymentDescription
from lentilfork.bench.description import load_description
from lentilfork.bench.emulation import SCENARIOS
from lentilfork.bench.emulation import TABLE_SCENARIOS
from lentilfork.bench.emulation import PlaneSize
from lentilfork.bench.emulation import ScenarioResult
from lentilfork.bench.emulation import run_scenario
from lentilfork.bench.experiment import SYSTEMS
from lentilfork.bench.experiment import draw_load_trace
from lentilfork.bench.experiment import make_faults
from lentilfork.bench.experiment import run_system
from lentilfork.bench.load_table_command import LoadTableCommand
from lentilfork.bench.plot import plot_reports
from lentilfork.bench.report import Report
from lentilfork.bench.trace import Trace
from lentilfork.bench.trace import read_trace
from lentilfork.bench.trace import record_trace
from lentilfork.bench.workload import Kind

__all__ = ["main"]

DEFAULT_DEPLOYMENT: Final = "examples/guild/deployment.json"
DEFAULT_FOLDER: Final = "build/bench"
# Number of callers, and the pause between their requests, when recording a trace.
RECORDED_CALLERS: Final = {Kind.LOOKUP: 24, Kind.CHANGE: 12, Kind.DOWNLOAD: 4}
RECORDED_PAUSES_S: Final = {Kind.LOOKUP: 0.2, Kind.CHANGE: 0.2, Kind.DOWNLOAD: 0.5}


class FlowsCommand(Command):
    """Replays one trace on each system and compares the results."""

    name = "flows"
    description = "Compare broken flows, imbalance, goodput and times of systems."
    help = """\
Replays one trace on lentilfork and on two baselines, one after the other, with the
same callers, fabric and backend servers. Writes report.json and report.png.

Examples:
  lentilfork-bench flows
  lentilfork-bench flows --steady --load 0.7 --duration 60
  lentilfork-bench flows --trace trace.jsonl --systems lentilfork,hash
"""
    options: ClassVar[list[Option]] = [
        option("deployment", "d", "deployment file", flag=False, default=""),
        option("trace", "t", "replay this trace", flag=False, default=""),
        option("load", "l", "share of capacity used", flag=False, default="0.5"),
        option("duration", None, "seconds of arrivals", flag=False, default="45"),
        option("seed", "s", "seed of arrivals", flag=False, default="1"),
        option("slowdown", None, "factor of service times", flag=False, default="4"),
        option("steady", None, "no changes while callers ask"),
        option("systems", None, "which to run", flag=False, default=",".join(SYSTEMS)),
        option("out", "o", "folder to write to", flag=False, default=DEFAULT_FOLDER),
    ]

    def handle(self) -> int:
        """Run the experiment; returns the exit code."""
        out = Path(self.option("out"))
        out.mkdir(parents=True, exist_ok=True)
        description = scale_service_times(
            find_description(self.option("deployment")), float(self.option("slowdown"))
        )
        trace = self.find_trace(description)
        self.line(f"seed {trace.seed}, {len(trace.arrivals)} arrivals")
        selected = self.option("systems").split(",")
        reports = []
        for system in (system for system in SYSTEMS if system in selected):
            self.line(f"running {system}")
            with tempfile.TemporaryDirectory() as folder:
                reports.append(
                    asyncio.run(run_system(system, description, trace, Path(folder)))
                )
            self.print_report(reports[-1])
        trace.write(out / "trace.jsonl")
        write_reports(reports, out)
        self.line(f"written: {out / 'report.json'}, {out / 'report.png'}")
        return 0

    def find_trace(self, description: DeploymentDescription) -> Trace:
        """Return the trace in the given file, or a random one if no file is given."""
        if self.option("trace"):
            return read_trace(Path(self.option("trace")))
        duration_s = float(self.option("duration"))
        steady = self.option("steady")
        faults = [] if steady else make_faults(description, duration_s)
        return draw_load_trace(
            description,
            float(self.option("load")),
            duration_s,
            int(self.option("seed")),
            faults,
        )

    def print_report(self, report: Report) -> None:
        """Print the main results of a run."""
        lookups = report.latencies["lookup"].percentiles_ms
        imbalance = ", ".join(
            f"{service} {value:.2f}" for service, value in report.imbalance.items()
        )
        control = max(report.control_bytes_per_s.values(), default=0.0)
        self.line(
            f"  {report.sent} sent, {report.complete} complete, "
            f"{report.broken} broken, {report.wrong} wrong, "
            f"{report.doubled} doubled; outcomes {report.outcomes}"
        )
        self.line(
            f"  goodput {report.goodput_per_s:.1f}/s; lookup p50 "
            f"{lookups['p50']:.0f} ms, p99 {lookups['p99']:.0f} ms; "
            f"imbalance {imbalance}; control {control:.0f} B/s; "
            f"arrivals up to {report.lateness_s * 1000:.0f} ms late"
        )


class RecordCommand(Command):
    """Records the requests of callers to a new deployment as a trace."""

    name = "record"
    description = "Run callers against a deployment and record a trace."
    arguments: ClassVar[list[Argument]] = [
        argument("file", "trace file to write"),
    ]
    options: ClassVar[list[Option]] = [
        option("deployment", "d", "deployment file", flag=False, default=""),
        option("duration", None, "seconds of arrivals", flag=False, default="20"),
        option("seed", "s", "seed of the callers", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Record a trace; returns the exit code."""
        description = find_description(self.option("deployment"))
        duration_s, seed = float(self.option("duration")), int(self.option("seed"))
        with tempfile.TemporaryDirectory() as folder:
            trace = asyncio.run(record(description, Path(folder), duration_s, seed))
        trace.write(Path(self.argument("file")))
        self.line(f"{len(trace.arrivals)} arrivals written")
        return 0


class ControlCommand(Command):
    """Emulates the control plane of forwarded flows in virtual time."""

    name = "control"
    description = "Emulate controllers and hundreds of members in virtual time."
    help = """\
Prints how long it takes until every member knows of a change or a loss, how many
reachable agents were called lost, and what each role costs while nothing changes.

The scenarios of route tables, table-*, are run only if they are named: tables that
change in series, slow and cut controllers, lost disks. They print each contradiction
to what was acknowledged: a member without a change 5 s after its acknowledgement, a
read that is older, a table that can't be read after the final fault.

Examples:
  lentilfork-bench control
  lentilfork-bench control --members 200 --scenarios table-storm,table-lost-disks
  lentilfork-bench control --members 300 --scenarios start,power-loss --loss 0.01
"""
    options: ClassVar[list[Option]] = [
        option("members", "m", "balancers and agents", flag=False, default="100"),
        option("scenarios", None, "which", flag=False, default=",".join(SCENARIOS)),
        option("loss", None, "share of lost datagrams", flag=False, default="0"),
        option("seed", "s", "seed", flag=False, default="1"),
        option("out", "o", "JSON file to write", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Run the scenarios; returns 1 if one of them failed."""
        size = PlaneSize(int(self.option("members")))
        seed, loss_share = int(self.option("seed")), float(self.option("loss"))
        selected = self.option("scenarios").split(",")
        unknown = sorted(set(selected) - SCENARIOS.keys() - TABLE_SCENARIOS.keys())
        if unknown:
            self.line_error(f"unknown scenarios: {', '.join(unknown)}")
            return 2
        results = []
        for name in selected:
            results.append(run_scenario(name, size, seed, loss_share))
            self.print_result(results[-1])
        if self.option("out"):
            text = json.dumps([asdict(result) for result in results], indent=2)
            Path(self.option("out")).write_text(text + "\n", encoding="utf-8")
        return int(any(result.has_failed for result in results))

    def print_result(self, result: ScenarioResult) -> None:
        """Print what a scenario has measured."""
        known = "not known" if result.known_s is None else f"{result.known_s:.2f} s"
        self.line(
            f"{result.scenario}: {known}, {result.falsely_lost} called lost wrongly"
        )
        for problem in result.problems:
            self.line(f"  {problem}")
        for cost in result.costs:
            self.line(
                f"  {cost.role} ({cost.processes}): {cost.messages_sent:.1f} messages "
                f"and {cost.bytes_sent:.0f} bytes sent a second, "
                f"{cost.far_bytes_sent:.0f} of them to other data centres; "
                f"{cost.messages_received:.1f} messages received; "
                f"{cost.cores:.5f} cores"
            )


class CapacityCommand(Command):
    """Measures the cost of each additional member, change, packet, flow or record."""

    name = "capacity"
    description = "Measure the slopes that docs/CAPACITY.md works with."
    help = """\
Runs real controllers, balancers and agents at three sizes each, in about two
minutes. Writes capacity.json and capacity.png, and the tables of CAPACITY.md where
the folder has that page.

Examples:
  lentilfork-bench capacity
  lentilfork-bench capacity --out docs
"""
    options: ClassVar[list[Option]] = [
        option("deployment", "d", "deployment file", flag=False, default=""),
        option("out", "o", "folder to write to", flag=False, default=DEFAULT_FOLDER),
    ]

    def handle(self) -> int:
        """Measure and write the costs; returns the exit code."""
        out = Path(self.option("out"))
        out.mkdir(parents=True, exist_ok=True)
        description = find_description(self.option("deployment"))
        document = asyncio.run(measure_capacity(description))
        write_capacity(document, out)
        page = out / "CAPACITY.md"
        if page.exists():
            fill_page(page, document)
        self.line(f"{document['seconds']} s; written: {out / 'capacity.json'}")
        return 0


async def record(
    description: DeploymentDescription, folder: Path, duration_s: float, seed: int
) -> Trace:
    """Run callers against a new deployment and return the trace of their requests."""
    async with Deployment(description, folder) as deployment:
        caller_group = CallerGroup(
            deployment, RECORDED_CALLERS, RECORDED_PAUSES_S, seed
        )
        async with caller_group:
            await asyncio.sleep(duration_s)
        mean_times_s = {
            service.definition.name: service.service_time_ms / 1000
            for service in description.services
        }
        speeds = {
            endpoint.config.name: endpoint.config.behaviour.speed
            for endpoint in deployment.plan.endpoints.values()
        }
        runs = deployment.list_runs()
        return record_trace(
            description.name, seed, caller_group.records, runs, [], mean_times_s, speeds
        )


def find_description(path: str) -> DeploymentDescription:
    """Return the deployment in a file, or the default one if the path is empty."""
    return load_description(Path(path or DEFAULT_DEPLOYMENT))


def scale_service_times(
    description: DeploymentDescription, factor: float
) -> DeploymentDescription:
    """Return the deployment with all service times multiplied by a factor.

    The same utilisation then needs fewer requests, which leaves spare processor time
    on the one machine that runs all processes.
    """
    services = tuple(
        service.model_copy(
            update={
                "service_time_ms": service.service_time_ms * factor,
                "long_service_time_ms": service.long_service_time_ms * factor,
            }
        )
        for service in description.services
    )
    return description.model_copy(update={"services": services})


def write_reports(reports: list[Report], folder: Path) -> None:
    """Write all reports as one JSON file and one plot."""
    documents = [report.model_dump(mode="json") for report in reports]
    text = json.dumps(documents, indent=2) + "\n"
    (folder / "report.json").write_text(text, encoding="utf-8")
    plot_reports(reports, folder / "report.png")


def main() -> int:
    """Run the command; returns its exit code."""
    application = Application("lentilfork-bench")
    application.add(FlowsCommand())
    application.add(RecordCommand())
    application.add(CapacityCommand())
    application.add(ControlCommand())
    application.add(LoadTableCommand())
    return application.run()
