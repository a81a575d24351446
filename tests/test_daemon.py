"""The daemon as a process: refused starts, a check that only checks, the stop."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
import urllib.request
from collections.abc import Callable
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import pytest

from lentilfork.bench.addresses import AddressBlock
from lentilfork.errors import ExitCode
from lentilfork.settings import split_address

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 60.0
# From a block for documentation: no host has it.
FOREIGN = "203.0.113.7:7001"

Document = dict[str, object]


class Deployment:
    """Settings files of one test and the processes started with them."""

    def __init__(self, folder: Path, block: AddressBlock) -> None:
        self.folder = folder
        self.control = block.allocate_address(7001)
        self.packets = block.allocate_address(6001)
        self.metrics = block.allocate_address(9101)
        # Nobody listens here.
        self.absent = block.allocate_address(7000)
        self.log = folder / "stderr"

    def make(self, role: str) -> Document:
        """Return correct settings of a role."""
        common = {"role": role, "name": "one", "data_centre": "kandy-a"}
        document: Document = {**common, "control_address": self.control}
        match role:
            case "controller":
                peer = {"name": "one", "address": self.control}
                document["controllers"] = [peer]
                document["data_folder"] = str(self.folder / "data")
            case "agent":
                document["service"] = "warnings"
                document["backend_server"] = self.absent
                document["return_address"] = self.absent
        if role != "controller":
            document["controllers"] = [self.absent]
            document["packet_address"] = self.packets
        return document

    def write(self, document: object) -> Path:
        """Write a settings file."""
        path = self.folder / "settings.json"
        text = document if isinstance(document, str) else json.dumps(document)
        path.write_text(text, encoding="utf-8")
        return path

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the daemon to its end."""
        command = [sys.executable, "-m", "lentilfork.daemon", *arguments]
        return subprocess.run(
            command,
            capture_output=True,
            check=False,
            text=True,
            timeout=START_TIMEOUT_S,
        )

    @contextmanager
    def start(self, document: Document) -> Iterator[subprocess.Popen[bytes]]:
        """Run the daemon until the context ends; it has started on entry."""
        command = [sys.executable, "-m", "lentilfork.daemon"]
        command += ["--settings", str(self.write(document))]
        with self.log.open("wb") as log:
            process = subprocess.Popen(command, stderr=log)
        try:
            self.wait_for_log("started")
            yield process
        finally:
            process.kill()
            process.wait()

    def wait_for_log(self, message: str) -> None:
        """Wait until a record with this message is written."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while f"daemon: {message}" not in self.log.read_text():
            assert time.monotonic() < deadline, self.log.read_text()
            time.sleep(0.02)


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Provide addresses and files of this test."""
    block = AddressBlock()
    yield Deployment(tmp_path, block)
    block.close()


@contextmanager
def hold_address(address: str, kind: socket.SocketKind) -> Iterator[None]:
    """Keep an address in use."""
    with socket.socket(socket.AF_INET, kind) as holder:
        holder.bind(split_address(address))
        if kind is socket.SOCK_STREAM:
            holder.listen()
        yield


# Role, what is wrong, and what the line says after the file's name.
REFUSED: dict[str, tuple[str, Callable[[Deployment], Document], str]] = {
    "unknown key": ("balancer", lambda _: {"speed": 1}, "key speed: unknown; expected"),
    "wrong type": ("agent", lambda _: {"slots": "2"}, "key slots: Input should be a"),
    "null as name": ("agent", lambda _: {"service": None}, "key service: Input should"),
    "unknown role": (
        "agent",
        lambda _: {"role": "cook"},
        "key role: expected one of agent, balancer, controller",
    ),
    "foreign control address": (
        "controller",
        lambda _: {"control_address": FOREIGN},
        f"key control_address: {FOREIGN} is not an address of this host; expected",
    ),
    "foreign packet address": (
        "balancer",
        lambda _: {"packet_address": FOREIGN},
        f"key packet_address: {FOREIGN} is not an address of this host; expected",
    ),
    "one address for two keys": (
        "agent",
        lambda deployment: {"metrics": {"address": deployment.control}},
        "key metrics.address: ",
    ),
    "file as data folder": (
        "controller",
        lambda deployment: {"data_folder": str(deployment.folder / "settings.json")},
        "key data_folder: ",
    ),
    "data folder below a file": (
        "controller",
        lambda deployment: {"data_folder": str(deployment.folder / "settings.json/x")},
        "key data_folder: ",
    ),
    "data folder that cannot be written": (
        "controller",
        lambda _: {"data_folder": "/proc"},
        "key data_folder: /proc: ",
    ),
    "missing certificate": (
        "controller",
        lambda _: {"tls": dict.fromkeys(("certificate", "key", "authority"), "/none")},
        "key tls.",
    ),
}


@pytest.mark.parametrize("case", REFUSED)
def test_wrong_settings_end_with_one_line_and_change_nothing(
    deployment: Deployment, case: str
) -> None:
    role, make_change, expected = REFUSED[case]
    path = deployment.write({**deployment.make(role), **make_change(deployment)})
    finished = deployment.run("--settings", str(path))
    check_refusal(finished, path, expected)
    assert os.listdir(deployment.folder) == [path.name]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ('{"role": "balancer",', "line 1, column 21: "),
        (
            '{"role": "agent", "role": "agent"}',
            "key role: repeated; expected it once",
        ),
        ("[" * 100_000, "nested too deeply; expected"),
        ("[]", "key -: Input should be an object"),
    ],
)
def test_file_that_is_no_settings_document_ends_with_one_line(
    deployment: Deployment, text: str, expected: str
) -> None:
    path = deployment.write(text)
    check_refusal(deployment.run("--settings", str(path)), path, expected)


@pytest.mark.parametrize(
    ("key", "kind"),
    [("control_address", socket.SOCK_STREAM), ("packet_address", socket.SOCK_DGRAM)],
)
def test_port_in_use_is_named_with_its_key(
    deployment: Deployment, key: str, kind: socket.SocketKind
) -> None:
    document = deployment.make("balancer")
    address = str(document[key])
    path = deployment.write(document)
    with hold_address(address, kind):
        finished = deployment.run("--settings", str(path), "--check")
    check_refusal(finished, path, f"key {key}: {address} is in use; expected a free")


def check_refusal(
    finished: subprocess.CompletedProcess[str], path: Path, expected: str
) -> None:
    """Check that a start ended with code 2 and one line with file and reason."""
    assert finished.returncode == ExitCode.USAGE, finished.stderr
    (line,) = finished.stderr.splitlines()
    assert line.startswith("lentilforkd: ")
    assert f"({path}): {expected}" in line
    assert finished.stdout == ""


def test_data_folder_in_use_is_named_with_its_key(deployment: Deployment) -> None:
    document = deployment.make("controller")
    with deployment.start(document):
        path = deployment.write({**document, "control_address": deployment.absent})
        finished = deployment.run("--settings", str(path))
    expected = f"key data_folder: {document['data_folder']} is in use by another"
    check_refusal(finished, path, expected)


def test_damaged_data_folder_is_named_with_its_key(deployment: Deployment) -> None:
    folder = deployment.folder / "data"
    folder.mkdir()
    (folder / "vote").write_bytes(b"no vote at all")
    path = deployment.write(deployment.make("controller"))
    finished = deployment.run("--settings", str(path))
    check_refusal(finished, path, f"key data_folder: read records ({folder}/vote): ")


@pytest.mark.parametrize("role", ["balancer", "agent", "controller"])
def test_check_of_correct_settings_starts_and_changes_nothing(
    deployment: Deployment, role: str
) -> None:
    path = deployment.write(deployment.make(role))
    finished = deployment.run("--settings", str(path), "--check")
    assert finished.returncode == ExitCode.OK, finished.stderr
    assert finished.stderr == ""
    assert os.listdir(deployment.folder) == [path.name]


@pytest.mark.parametrize("role", ["balancer", "agent", "controller"])
def test_sigterm_drains_stops_and_exits_with_0(
    deployment: Deployment, role: str
) -> None:
    with deployment.start(deployment.make(role)) as process:
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(STOP_TIMEOUT_S) == ExitCode.OK
    log = deployment.log.read_text()
    assert log.index("daemon: draining") < log.index("daemon: stopped")
    assert "cut short" not in log
    assert "Traceback" not in log


def test_second_signal_ends_the_drain(deployment: Deployment) -> None:
    with deployment.start(deployment.make("balancer")) as process:
        process.send_signal(signal.SIGTERM)
        deployment.wait_for_log("draining")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as fabric:
            # A balancer drains as long as packets come.
            for _ in range(100):
                fabric.sendto(b"packet", split_address(deployment.packets))
                time.sleep(0.02)
            assert process.poll() is None
            process.send_signal(signal.SIGINT)
        assert process.wait(STOP_TIMEOUT_S) == ExitCode.OK
    assert "drain cut short by a second signal" in deployment.log.read_text()


def test_metrics_show_counters_by_reason(deployment: Deployment) -> None:
    document = {
        **deployment.make("balancer"),
        "metrics": {"address": deployment.metrics},
        "log": {"format": "json"},
    }
    url = f"http://{deployment.metrics}/metrics"
    dropped = 'lentilfork_events_total{event="dropped",reason="truncated"} 1.0'
    command = [sys.executable, "-m", "lentilfork.daemon"]
    command += ["--settings", str(deployment.write(document))]
    with subprocess.Popen(command, stderr=subprocess.PIPE) as process:
        try:
            assert process.stderr is not None
            record = json.loads(process.stderr.readline())
            assert (record["process"], record["message"]) == ("one", "started")
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as fabric:
                fabric.sendto(b"E", split_address(deployment.packets))
            deadline = time.monotonic() + START_TIMEOUT_S
            while dropped not in (text := read_url(url)):
                assert time.monotonic() < deadline, text
                time.sleep(0.05)
        finally:
            process.kill()
    names = ("generation", "loop_lag_seconds", "resident_memory_bytes")
    assert all(f"\nlentilfork_{name} " in text for name in names)


def read_url(url: str) -> str:
    """Return the text served at a URL."""
    with urllib.request.urlopen(url, timeout=START_TIMEOUT_S) as reply:
        return str(reply.read(), "utf-8")
