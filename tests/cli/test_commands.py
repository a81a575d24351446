"""Requests, output and exit codes of the operator commands."""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Iterator
from pathlib import Path

import grpc
import pytest

from lentilfork.bench.addresses import AddressBlock
from lentilfork.cli import main
from lentilfork.errors import ExitCode
from lentilfork.schema import admin_pb2
from lentilfork.schema import state_pb2
from tests.cli.standin import CommandResult
from tests.cli.standin import StandInController
from tests.cli.standin import read_lines
from tests.cli.standin import run_command
from tests.cli.standin import start_command
from tests.cli.standin import wait_for_command

SERVICE = {
    "name": "warnings",
    "address": "10.8.0.1",
    "port": 5683,
    "deadline_ms": 2000,
    "long_paths": ["artwork"],
}
PRESET = {
    "name": "peak",
    "queue_per_slot": 6,
    "queue_time_ms": 600,
    "retry_budget_percent": 5,
    "drain_ms": 60000,
    "cold_start_ms": 5000,
}
UNKNOWN = admin_pb2.SubmitReply(outcome_unknown=True)


def make_accepted(generation: int) -> admin_pb2.SubmitReply:
    """Return the answer to an accepted change."""
    result = state_pb2.ChangeResult(
        change_id="c1", outcome=state_pb2.ACCEPTED, generation=generation
    )
    return admin_pb2.SubmitReply(result=result)


def make_status(generation: int, **members: tuple[str, int]) -> admin_pb2.Status:
    """Return the leader's status; `members` maps agents to (state, generation)."""
    leader = admin_pb2.MemberStatus(
        name="control-1", role="controller", state="leader", generation=generation
    )
    agents = [
        admin_pb2.MemberStatus(
            name=name,
            role="agent",
            state=state,
            generation=generation_applied,
            reason="busy",
        )
        for name, (state, generation_applied) in members.items()
    ]
    return admin_pb2.Status(
        generation=generation,
        leader=leader.name,
        active_preset="peak",
        members=[*agents, leader],
    )


@pytest.fixture
def block() -> Iterator[AddressBlock]:
    """Yield a block of loopback addresses for one test."""
    addresses = AddressBlock()
    yield addresses
    addresses.close()


@pytest.fixture
async def controllers(block: AddressBlock) -> AsyncIterator[list[StandInController]]:
    """Yield two running stand-in controllers."""
    started = [StandInController(block.allocate_address(7000)) for _ in range(2)]
    for controller in started:
        await controller.server.start()
    yield started
    for controller in started:
        await controller.server.stop(None)


@pytest.fixture
def service_file(tmp_path: Path) -> str:
    """Write a valid service definition and return its path."""
    path = tmp_path / "warnings.json"
    path.write_text(json.dumps(SERVICE), encoding="utf-8")
    return str(path)


@pytest.fixture
def run_in_process(
    monkeypatch: pytest.MonkeyPatch, capfd: pytest.CaptureFixture[str]
) -> Callable[..., CommandResult]:
    """Return a function that runs a command without a connection in this process."""
    monkeypatch.setenv("LENTILFORK_CONTROLLERS", "")

    def run(*arguments: str) -> CommandResult:
        monkeypatch.setattr("sys.argv", ["lentilfork", *arguments])
        code = main()
        return CommandResult(code, *capfd.readouterr())

    return run


def join_addresses(controllers: list[StandInController]) -> str:
    return ",".join(controller.address for controller in controllers)


async def test_apply_sends_the_definition_and_prints_the_version(
    controllers: list[StandInController], service_file: str
) -> None:
    controllers[0].replies = [make_accepted(12)]
    result = await run_command(
        *("service", "apply", service_file, "--expect", "0", "--operator", "ama"),
        *("--controllers", join_addresses(controllers)),
    )
    assert result.code == ExitCode.OK, result.errors
    assert "service warnings: version 12" in result.output
    (change,) = controllers[0].changes
    assert change.apply_service.long_paths == ["artwork"]
    assert change.operator == "ama"
    assert change.HasField("expected_version")
    assert change.expected_version == 0


async def test_wait_shows_lagging_members_until_the_version_is_applied(
    controllers: list[StandInController], service_file: str
) -> None:
    controllers[0].replies = [make_accepted(12)]
    controllers[0].statuses = [
        make_status(11, one=("live", 11)),
        make_status(12, one=("live", 12), two=("draining", 11), three=("silent", 3)),
        make_status(12, one=("live", 12), two=("draining", 12), three=("silent", 3)),
    ]
    result = await run_command(
        *("service", "apply", service_file, "--wait", "20"),
        *("--controllers", controllers[0].address),
    )
    assert result.code == ExitCode.OK, result.errors
    shown = result.errors.splitlines()
    assert "0 of 2 live members" in shown[0]
    assert "waiting for two (at 11, busy); silent: three" in shown[1]
    assert "3 of 3 live members" in shown[2]


async def test_wait_ignores_a_controller_without_a_leader(
    controllers: list[StandInController],
) -> None:
    isolated, other = controllers
    isolated.replies = [make_accepted(12)]
    silent_member = admin_pb2.MemberStatus(name="one", state="silent")
    isolated.statuses = [admin_pb2.Status(generation=12, members=[silent_member])]
    other.statuses = [make_status(12, one=("live", 11))]
    command = ("preset", "use", "peak", "--wait", "1", "--controllers")
    both = await run_command(*command, join_addresses(controllers))
    assert both.code == ExitCode.LAGGING
    assert "one (at 11, busy)" in both.errors
    single = await run_command(*command, isolated.address)
    assert single.code == ExitCode.LAGGING
    assert "no controller that answers reaches a leader" in single.errors
    status = await run_command("status", "-c", isolated.address)
    assert "warning: no controller that answers reaches a leader" in status.errors


async def test_reads_prefer_the_newest_state(
    controllers: list[StandInController],
) -> None:
    controllers[0].statuses = [make_status(9)]
    states = [
        state_pb2.Snapshot(
            generation=generation, services=[state_pb2.Service(name=name)]
        )
        for generation, name in ((8, "older"), (9, "newer"))
    ]
    controllers[0].state, controllers[1].state = states
    result = await run_command("service", "list", "-c", join_addresses(controllers))
    assert "newer" in result.output


async def test_wait_that_times_out_has_its_own_exit_code(
    controllers: list[StandInController],
) -> None:
    controllers[0].replies = [make_accepted(12)]
    controllers[0].statuses = [make_status(12, one=("live", 11))]
    result = await run_command(
        *("preset", "use", "peak", "--wait", "1"),
        *("--controllers", controllers[0].address),
    )
    assert result.code == ExitCode.LAGGING
    assert "one (at 11, busy)" in result.errors
    assert controllers[0].changes[0].use_preset == "peak"


async def test_member_that_becomes_silent_during_the_wait_is_waited_for(
    controllers: list[StandInController],
) -> None:
    controllers[0].replies = [make_accepted(12)]
    controllers[0].statuses = [
        make_status(12, one=("live", 11), two=("silent", 11)),
        make_status(12, one=("silent", 11), two=("silent", 11)),
    ]
    result = await run_command(
        *("preset", "use", "peak", "--wait", "1"),
        *("--controllers", controllers[0].address),
    )
    assert result.code == ExitCode.LAGGING
    assert "1 of 2 live members; waiting for one (at 11, busy)" in result.errors
    assert "silent: two" in result.errors


async def test_version_conflict_names_the_change_that_was_accepted_first(
    controllers: list[StandInController], service_file: str
) -> None:
    conflicting_entry = state_pb2.HistoryEntry(
        generation=9, change_id="c9", operator="nimal", summary="service warnings"
    )
    change_result = state_pb2.ChangeResult(
        outcome=state_pb2.VERSION_CONFLICT,
        message="at version 9",
        conflict=conflicting_entry,
    )
    controllers[0].replies = [admin_pb2.SubmitReply(result=change_result)]
    result = await run_command(
        *("service", "apply", service_file, "--expect", "8"),
        *("--controllers", join_addresses(controllers)),
    )
    assert result.code == ExitCode.REFUSED
    assert controllers[0].address in result.errors
    assert "generation 9 by nimal came first" in result.errors
    assert not controllers[1].changes


@pytest.mark.parametrize("first_reply", [UNKNOWN, grpc.StatusCode.UNAVAILABLE])
async def test_change_without_an_answer_is_resent_with_the_same_id(
    controllers: list[StandInController],
    first_reply: admin_pb2.SubmitReply | grpc.StatusCode,
) -> None:
    controllers[0].replies = [first_reply]
    controllers[1].replies = [make_accepted(12)]
    result = await run_command(
        *("service", "remove", "warnings", "--controllers", join_addresses(controllers))
    )
    assert result.code == ExitCode.OK, result.errors
    first, second = controllers[0].changes[0], controllers[1].changes[0]
    assert first.remove_service == "warnings"
    assert first.change_id == second.change_id


@pytest.mark.parametrize(
    "later_reply", [UNKNOWN, admin_pb2.SubmitReply(refused="disk is full")]
)
async def test_unknown_outcome_prints_the_id_to_resend_with(
    controllers: list[StandInController], later_reply: admin_pb2.SubmitReply
) -> None:
    controllers[0].replies = [UNKNOWN, later_reply]
    result = await run_command(
        *("preset", "use", "peak", "--timeout", "1"),
        *("--controllers", controllers[0].address, "--change-id", "change-1"),
    )
    assert result.code == ExitCode.UNKNOWN
    assert "resend it with --change-id change-1" in result.errors
    assert {change.change_id for change in controllers[0].changes} == {"change-1"}


async def test_refusal_is_reported_with_the_address_of_the_controller(
    controllers: list[StandInController],
) -> None:
    controllers[0].replies = [admin_pb2.SubmitReply(refused="disk is full")]
    result = await run_command(
        "preset", "use", "peak", "--controllers", join_addresses(controllers)
    )
    assert result.code == ExitCode.REFUSED
    expected = f"submit change ({controllers[0].address}): disk is full"
    assert expected in result.errors


async def test_change_without_a_reachable_controller_is_reported_as_not_sent(
    block: AddressBlock,
) -> None:
    address = block.allocate_address(7000)
    result = await run_command(
        "preset", "use", "peak", "--timeout", "1", "--controllers", address
    )
    assert result.code == ExitCode.UNREACHABLE
    assert f"({address})" in result.errors
    assert "nothing was sent" in result.errors


INVALID_FILES: dict[str, tuple[object, str]] = {
    "unknown key": ({**SERVICE, "speed": 1}, "key speed: unknown"),
    "wrong type": ({**SERVICE, "port": "5683"}, "key port: Input should be"),
    "no address": ({**SERVICE, "address": "here"}, "key address: expected an IPv4"),
    "missing key": ({"name": "warnings"}, "key address: missing"),
    "slash in path": ({**SERVICE, "long_paths": ["a/b"]}, "key long_paths.0:"),
    "not an object": ([], "key -: Input should be an object"),
}


@pytest.mark.parametrize("case", INVALID_FILES)
def test_invalid_file_is_refused_before_anything_is_sent(
    run_in_process: Callable[..., CommandResult], tmp_path: Path, case: str
) -> None:
    document, expected = INVALID_FILES[case]
    path = tmp_path / "wrong.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    # No process listens at this address: an attempt to connect would end with another
    # exit code.
    result = run_in_process(
        "service", "apply", str(path), "-c", "127.0.0.1:1", "-t", "1"
    )
    assert result.code == ExitCode.USAGE
    assert f"({path}): {expected}" in result.errors


INVALID_ARGUMENTS = {
    "unknown command": ["cook"],
    "missing argument": ["service", "apply"],
    "unknown option": ["status", "--loud"],
    "no controllers": ["status", "--controllers", ""],
    "no address": ["status", "--controllers", "somewhere"],
    "no number": ["status", "--controllers", "127.0.0.1:1", "--timeout", "soon"],
}


@pytest.mark.parametrize("case", INVALID_ARGUMENTS)
def test_invalid_arguments_print_one_line(
    run_in_process: Callable[..., CommandResult], case: str
) -> None:
    result = run_in_process(*INVALID_ARGUMENTS[case])
    assert result.code == ExitCode.USAGE
    assert len(result.errors.splitlines()) == 1
    assert result.errors.startswith("lentilfork: ")


READS: dict[str, tuple[list[str], list[tuple[str, object]]]] = {
    "services": (["service", "list"], [("name", "warnings"), ("version", 2**60)]),
    "service": (["service", "show", "warnings"], [("id", 3), ("port", 5683)]),
    "presets": (["preset", "list"], [("name", "peak"), ("active_version", 7)]),
    "members": (["members"], [("name", "one"), ("generation", 2**60)]),
    "status": (["status"], [("generation", 2**60), ("active_preset", "peak")]),
    "history": (["history", "--after", "1"], [("generation", 2), ("operator", "b")]),
    "dump by name": (["dump", "one"], [("name", "standin")]),
}


@pytest.mark.parametrize("case", READS)
async def test_reads_print_json_with_numbers_as_numbers(
    controllers: list[StandInController], case: str
) -> None:
    arguments, expected = READS[case]
    service = state_pb2.Service(id=3, name="warnings", port=5683, version=2**60)
    entries = [
        state_pb2.HistoryEntry(generation=1, operator="a"),
        state_pb2.HistoryEntry(generation=2, operator="b"),
    ]
    status = make_status(2**60, one=("live", 2**60))
    status.members[0].control_address = controllers[1].address
    controllers[0].statuses = [status]
    controllers[0].history = admin_pb2.History(entries=entries)
    controllers[0].state = state_pb2.Snapshot(
        services=[service],
        presets=[state_pb2.Preset(name="peak")],
        active_preset="peak",
        active_preset_version=7,
    )
    result = await run_command(
        *arguments, "--json", LENTILFORK_CONTROLLERS=join_addresses(controllers)
    )
    assert result.code == ExitCode.OK, result.errors
    document = json.loads(result.output)
    shown = document[0] if isinstance(document, list) else document
    assert expected == [(key, shown[key]) for key, _ in expected]
    plain = await run_command(
        *arguments, LENTILFORK_CONTROLLERS=join_addresses(controllers)
    )
    assert plain.code == ExitCode.OK, plain.errors
    assert str(expected[0][1]) in plain.output


async def test_process_is_dumped_by_address_without_controllers(
    controllers: list[StandInController],
) -> None:
    result = await run_command(
        "dump", controllers[0].address, LENTILFORK_CONTROLLERS=""
    )
    assert json.loads(result.output) == {"name": "standin"}


async def test_unknown_name_is_refused_with_a_list_of_known_names(
    controllers: list[StandInController],
) -> None:
    controllers[0].statuses = [make_status(4, one=("live", 4), two=("live", 4))]
    options = ("--controllers", join_addresses(controllers))
    dump = await run_command("dump", "three", *options)
    assert (dump.code, "one, two" in dump.errors) == (ExitCode.REFUSED, True)
    show = await run_command("service", "show", "nothing", *options)
    assert (show.code, "(nothing)" in show.errors) == (ExitCode.REFUSED, True)


async def test_watch_continues_at_the_next_controller(
    controllers: list[StandInController], block: AddressBlock, tmp_path: Path
) -> None:
    controllers[1].statuses = [make_status(4), make_status(5)]
    addresses = [block.allocate_address(7000), controllers[1].address]
    path = tmp_path / "client.json"
    path.write_text(json.dumps({"controllers": addresses}), encoding="utf-8")
    await controllers[0].server.stop(None)
    lines = await read_lines(2, "watch", "--json", "--settings", str(path))
    assert [json.loads(line)["generation"] for line in lines] == [4, 5]


async def test_interrupted_change_prints_the_id_to_resend_with(
    controllers: list[StandInController],
) -> None:
    controllers[0].replies = [UNKNOWN]
    options = ("--controllers", controllers[0].address, "--change-id", "change-2")
    process = await start_command("preset", "use", "peak", *options)
    while not controllers[0].changes:
        await asyncio.sleep(0.01)
    process.send_signal(signal.SIGINT)
    result = await wait_for_command(process)
    assert result.code == ExitCode.UNKNOWN
    assert "resend it with --change-id change-2" in result.errors


def make_state(generation: int, *evacuated: str) -> state_pb2.Snapshot:
    """Return a state with agents in two data centres."""
    return state_pb2.Snapshot(
        generation=generation,
        agents=[
            state_pb2.Agent(name=f"agent-{name}", data_centre=name)
            for name in ("recife", "olinda")
        ],
        evacuations=[
            state_pb2.Evacuation(data_centre="olinda", version=2),
            *(
                state_pb2.Evacuation(data_centre=name, active=True, version=3)
                for name in evacuated
            ),
        ],
    )


# Guards against an operator who evacuates when the data centre should return, and
# against a command that ends before the members have applied it.
@pytest.mark.parametrize(
    ("command", "active"), [("evacuate", True), ("restore", False)]
)
async def test_evacuation_is_submitted_and_waited_for(
    controllers: list[StandInController], command: str, active: bool
) -> None:
    controllers[0].state = make_state(11)
    controllers[0].replies = [make_accepted(12)]
    controllers[0].statuses = [
        make_status(11, a1=("live", 11)),
        make_status(12, a1=("live", 11)),
        make_status(12, a1=("live", 12)),
    ]
    result = await run_command(
        *(command, "recife", "--operator", "ama", "--wait", "10", "--json"),
        *("--controllers", join_addresses(controllers[:1])),
    )
    assert result.code == ExitCode.OK, result.errors
    assert json.loads(result.output)["generation"] == 12
    assert "waiting for a1" in result.errors
    (change,) = controllers[0].changes
    assert change.put_evacuation.data_centre == "recife"
    assert change.put_evacuation.active == active


# Guards against a misspelt name, whose evacuation would be accepted without an effect.
async def test_evacuation_of_an_unknown_data_centre_is_not_sent(
    controllers: list[StandInController],
) -> None:
    controllers[0].state = make_state(11)
    result = await run_command(
        *("evacuate", "recif", "--controllers", controllers[0].address)
    )
    assert result.code == ExitCode.REFUSED
    assert "there are olinda, recife" in result.errors
    assert controllers[0].changes == []


# Guards against an evacuation that is forgotten because no view shows it.
async def test_status_shows_evacuated_data_centres(
    controllers: list[StandInController],
) -> None:
    controllers[0].statuses = [make_status(12)]
    arguments = ("status", "--controllers", controllers[0].address)
    plain = await run_command(*arguments)
    assert "evacuated" not in plain.output
    controllers[0].state = make_state(12, "recife")
    shown = await run_command(*arguments)
    assert shown.output == f"{plain.output}evacuated: recife\n"
    values = json.loads((await run_command(*arguments, "--json")).output)
    assert values["evacuated"] == ["recife"]
