"""The command `lentilfork-bench load-table`: the load of a run from its logs."""

import gc
import json
import math
from collections.abc import Sequence
from pathlib import Path
from typing import ClassVar
from typing import Final

import msgspec
from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
from cleo.io.inputs.argument import Argument
from cleo.io.inputs.option import Option
from cleo.io.outputs.output import Type
from result import Err
from result import Ok
from result import Result

from lentilfork.bench.load_output import format_rows
from lentilfork.bench.load_output import plot_rows
from lentilfork.bench.load_output import to_row_values
from lentilfork.bench.load_table import GROUPINGS
from lentilfork.bench.load_table import DataCentres
from lentilfork.bench.load_table import LoadCounter
from lentilfork.bench.log_lines import LineReader
from lentilfork.cli.output import format_json
from lentilfork.cli.output import format_table
from lentilfork.errors import ExitCode
from lentilfork.errors import Failure

__all__ = ["LoadTableCommand"]

Number = int | float
DEFAULT_GROUPING: Final = "second-route"
READ_LOG_STEP: Final = "read log"
DATA_CENTRES_STEP: Final = "read data centres"
REPORT_STEP: Final = "read report"
PLOT_STEP: Final = "write picture"


class LoadTableCommand(Command):
    """Prints what was asked, placed and refused, from the JSON logs of a run."""

    name = "load-table"
    description = "Count asked, placed and refused flows of a run from its JSON logs."
    help = """\
Reads the JSON log lines of any number of processes and counts the decisions about
flows. A time and a process name before a line's object replace those in it.

Without --data-centres, all processes count as one data centre. The file maps prefixes
of process names to data centres, such as {"edge-north-": "north"}; the longest prefix
that fits decides.

Examples:
  lentilfork-bench load-table logs/*
  lentilfork-bench load-table logs/* --by route --data-centres sites.json
  lentilfork-bench load-table logs/* --report report.json --json
  lentilfork-bench load-table logs/* --plot load.png
"""
    arguments: ClassVar[list[Argument]] = [
        argument("files", "log files", multiple=True),
    ]
    options: ClassVar[list[Option]] = [
        option(
            "by",
            "b",
            f"rows by {', '.join(GROUPINGS)}",
            flag=False,
            default=DEFAULT_GROUPING,
        ),
        option("data-centres", None, "JSON: prefix to data centre", flag=False),
        option("report", None, "JSON report to summarise", flag=False),
        option("plot", None, "PNG file to write", flag=False),
        option("json", None, "print JSON"),
    ]

    def handle(self) -> int:
        """Print the table; returns the exit code."""
        outcome = self.run_command()
        if isinstance(outcome, Err):
            self.line_error(f"lentilfork-bench: {outcome.err_value}")
            return ExitCode.USAGE
        return ExitCode.OK

    def run_command(self) -> Result[None, Failure]:
        """Read all files and print the table and the summary."""
        grouping = self.option("by")
        if grouping not in GROUPINGS:
            message = f"{grouping!r}; expected one of {', '.join(GROUPINGS)}"
            return Err(Failure("read arguments", "--by", message))
        data_centres = read_data_centres(self.option("data-centres"))
        if isinstance(data_centres, Err):
            return data_centres
        report = read_report(self.option("report"))
        if isinstance(report, Err):
            return report
        counter = LoadCounter(data_centres.ok_value)
        reader = LineReader(counter)
        counted = count_files(self.argument("files"), reader)
        if isinstance(counted, Err):
            return counted
        if self.option("json"):
            self.print_json(grouping, reader, counter, report.ok_value)
        else:
            self.print_text(grouping, reader, counter, report.ok_value)
        if self.option("plot"):
            return self.write_plot(counter, Path(self.option("plot")))
        return Ok(None)

    def print_text(
        self,
        grouping: str,
        reader: LineReader,
        counter: LoadCounter,
        report: dict[str, Number] | None,
    ) -> None:
        """Print the table, the numbers of lines and the summary of the report."""
        known = bool(counter.data_centres.prefixes)
        self.print(format_rows(counter.make_rows(grouping), has_data_centres=known))
        counts = ", ".join(
            f"{number} {kind.replace('_', ' ')}"
            for kind, number in sorted(reader.lines.items())
            if number
        )
        self.print(f"\nlines: {counts or 'none'}")
        if report is not None:
            rows = sorted(report.items())
            self.print("")
            self.print(format_table(("REPORT", "VALUE"), rows))

    def print_json(
        self,
        grouping: str,
        reader: LineReader,
        counter: LoadCounter,
        report: dict[str, Number] | None,
    ) -> None:
        """Print the same as one JSON document."""
        known = bool(counter.data_centres.prefixes)
        rows = [
            to_row_values(row, has_data_centres=known)
            for row in counter.make_rows(grouping)
        ]
        lines = {kind: number for kind, number in reader.lines.items() if number}
        self.print(format_json({"rows": rows, "lines": lines, "report": report}))

    def write_plot(self, counter: LoadCounter, path: Path) -> Result[None, Failure]:
        """Write the picture of the load by second."""
        try:
            plot_rows(counter.make_rows("second"), path)
        except (OSError, ValueError) as error:
            # ValueError: matplotlib doesn't know the format of the file's suffix.
            return Err(Failure(PLOT_STEP, str(path), str(error)))
        return Ok(None)

    def print(self, text: str) -> None:
        """Write a line to standard output without formatting its markup."""
        self.io.write_line(text, type=Type.RAW)


def count_files(files: Sequence[str], reader: LineReader) -> Result[None, Failure]:
    """Count the lines of all files.

    Garbage collection is off meanwhile: nothing that is kept for a flow is part of a
    cycle, and collections took 0.8 s of 5.3 s with 500,000 flows on a busy machine.
    """
    gc.disable()
    try:
        for name in files:
            with Path(name).open("rb") as file:
                reader.read(file)
    except OSError as error:
        return Err(Failure(READ_LOG_STEP, name, error.strerror or str(error)))
    finally:
        gc.enable()
    return Ok(None)


def read_data_centres(name: str | None) -> Result[DataCentres, Failure]:
    """Return the data centres in a file, or none without a file."""
    if not name:
        return Ok(DataCentres({}))
    try:
        prefixes = msgspec.json.decode(Path(name).read_bytes(), type=dict[str, str])
    except OSError as error:
        return Err(Failure(DATA_CENTRES_STEP, name, error.strerror or str(error)))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Err(Failure(DATA_CENTRES_STEP, name, f"{error}; expected JSON"))
    return Ok(DataCentres(prefixes))


def read_report(name: str | None) -> Result[dict[str, Number] | None, Failure]:
    """Return the finite numbers at the top level of a report, None without a file."""
    if not name:
        return Ok(None)
    try:
        document = json.loads(Path(name).read_bytes())
    except OSError as error:
        return Err(Failure(REPORT_STEP, name, error.strerror or str(error)))
    except (ValueError, RecursionError) as error:
        return Err(Failure(REPORT_STEP, name, f"{error}; expected JSON"))
    items = document.items() if isinstance(document, dict) else ()
    return Ok({key: value for key, value in items if is_finite_number(value)})


def is_finite_number(value: object) -> bool:
    """Return whether a JSON value is a number that JSON can represent."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return isinstance(value, int) or math.isfinite(value)
