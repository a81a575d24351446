"""The daemon as a process: refused starts, `--check`, graceful stop and metrics."""

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
# From an address block reserved for documentation, so no host has it.
OTHER_HOST = "203.0.113.7:7001"

Document = dict[str, object]


class Deployment:
    """Settings and addresses of one test, and the processes started with them."""

    def __init__(self, folder: Path, block: AddressBlock) -> None:
        self.folder = folder
        self.control = block.allocate_address(7001)
        self.packets = block.allocate_address(6001)
        self.metrics = block.allocate_address(9101)
        # No process listens at this address.
        self.unused_address = block.allocate_address(7000)
        self.log = folder / "stderr"

    def make_settings(self, role: str) -> Document:
        """Return valid settings for a role."""
        common = {"role": role, "name": "one", "data_centre": "kandy-a"}
        document: Document = {**common, "control_address": self.control}
        match role:
            case "controller":
                peer = {"name": "one", "address": self.control}
                document["controllers"] = [peer]
                document["data_folder"] = str(self.folder / "data")
            case "agent":
                document["service"] = "warnings"
                document["backend_server"] = self.unused_address
                document["return_address"] = self.unused_address
        if role != "controller":
            document["controllers"] = [self.unused_address]
            document["packet_address"] = self.packets
        return document

    def write_settings(self, document: object) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / "settings.json"
        text = document if isinstance(document, str) else json.dumps(document)
        path.write_text(text, encoding="utf-8")
        return path

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run the daemon until it exits."""
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
        """Start the daemon, wait until it has started, and kill it on exit."""
        command = [sys.executable, "-m", "lentilfork.daemon"]
        command += ["--settings", str(self.write_settings(document))]
        with self.log.open("wb") as log:
            process = subprocess.Popen(command, stderr=log)
        try:
            self.wait_for_log("started")
            yield process
        finally:
            process.kill()
            process.wait()

    def wait_for_log(self, message: str) -> None:
        """Wait until a log record with this message is written."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while f"daemon: {message}" not in self.log.read_text():
            assert time.monotonic() < deadline, self.log.read_text()
            time.sleep(0.02)


@pytest.fixture
def deployment(tmp_path: Path) -> Iterator[Deployment]:
    """Provide the addresses and files of one test."""
    block = AddressBlock()
    yield Deployment(tmp_path, block)
    block.close()


@contextmanager
def occupy_address(address: str, kind: socket.SocketKind) -> Iterator[None]:
    """Keep an address in use within the context."""
    with socket.socket(socket.AF_INET, kind) as bound_socket:
        bound_socket.bind(split_address(address))
        if kind is socket.SOCK_STREAM:
            bound_socket.listen()
        yield


# Role, wrong settings, and the start of the error message after the file name.
REFUSED: dict[str, tuple[str, Callable[[Deployment], Document], str]] = {
    "unknown key": ("balancer", lambda _: {"speed": 1}, "key speed: unknown; expected"),
    "wrong type": ("agent", lambda _: {"slots": "2"}, "key slots: Input should be a"),
    "null as name": ("agent", lambda _: {"service": None}, "key service: Input should"),
    "unknown role": (
        "agent",
        lambda _: {"role": "cook"},
        "key role: expected one of agent, balancer, controller",
    ),
    "control address of another host": (
        "controller",
        lambda _: {"control_address": OTHER_HOST},
        f"key control_address: {OTHER_HOST} is not an address of this host; expected",
    ),
    "packet address of another host": (
        "balancer",
        lambda _: {"packet_address": OTHER_HOST},
        f"key packet_address: {OTHER_HOST} is not an address of this host; expected",
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
def test_wrong_settings_are_refused_with_one_line_and_no_files(
    deployment: Deployment, case: str
) -> None:
    role, make_change, expected = REFUSED[case]
    path = deployment.write_settings(
        {**deployment.make_settings(role), **make_change(deployment)}
    )
    completed = deployment.run("--settings", str(path))
    check_refusal(completed, path, expected)
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
def test_malformed_settings_file_is_refused_with_one_line(
    deployment: Deployment, text: str, expected: str
) -> None:
    path = deployment.write_settings(text)
    check_refusal(deployment.run("--settings", str(path)), path, expected)


@pytest.mark.parametrize(
    ("key", "kind"),
    [("control_address", socket.SOCK_STREAM), ("packet_address", socket.SOCK_DGRAM)],
)
def test_address_in_use_is_refused_with_its_key(
    deployment: Deployment, key: str, kind: socket.SocketKind
) -> None:
    document = deployment.make_settings("balancer")
    address = str(document[key])
    path = deployment.write_settings(document)
    with occupy_address(address, kind):
        completed = deployment.run("--settings", str(path), "--check")
    check_refusal(completed, path, f"key {key}: {address} is in use; expected a free")


def check_refusal(
    completed: subprocess.CompletedProcess[str], path: Path, expected: str
) -> None:
    """Check that the daemon exited with code 2 and one line with file and reason."""
    assert completed.returncode == ExitCode.USAGE, completed.stderr
    (line,) = completed.stderr.splitlines()
    assert line.startswith("lentilforkd: ")
    assert f"({path}): {expected}" in line
    assert completed.stdout == ""


def test_data_folder_in_use_is_refused_with_its_key(deployment: Deployment) -> None:
    document = deployment.make_settings("controller")
    with deployment.start(document):
        path = deployment.write_settings(
            {**document, "control_address": deployment.unused_address}
        )
        completed = deployment.run("--settings", str(path))
    expected = f"key data_folder: {document['data_folder']} is in use by another"
    check_refusal(completed, path, expected)


def test_corrupt_data_folder_is_refused_with_its_key(deployment: Deployment) -> None:
    folder = deployment.folder / "data"
    folder.mkdir()
    (folder / "vote").write_bytes(b"no vote at all")
    path = deployment.write_settings(deployment.make_settings("controller"))
    completed = deployment.run("--settings", str(path))
    check_refusal(completed, path, f"key data_folder: read records ({folder}/vote): ")


@pytest.mark.parametrize("role", ["balancer", "agent", "controller"])
def test_check_of_valid_settings_starts_nothing_and_writes_no_files(
    deployment: Deployment, role: str
) -> None:
    path = deployment.write_settings(deployment.make_settings(role))
    completed = deployment.run("--settings", str(path), "--check")
    assert completed.returncode == ExitCode.OK, completed.stderr
    assert completed.stderr == ""
    assert os.listdir(deployment.folder) == [path.name]


@pytest.mark.parametrize("role", ["balancer", "agent", "controller"])
def test_sigterm_drains_then_stops_with_exit_code_0(
    deployment: Deployment, role: str
) -> None:
    with deployment.start(deployment.make_settings(role)) as process:
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGTERM)
        assert process.wait(STOP_TIMEOUT_S) == ExitCode.OK
    log = deployment.log.read_text()
    assert log.index("daemon: draining") < log.index("daemon: stopped")
    assert "cut short" not in log
    assert "Traceback" not in log


def test_second_signal_ends_the_drain(deployment: Deployment) -> None:
    with deployment.start(deployment.make_settings("balancer")) as process:
        process.send_signal(signal.SIGTERM)
        deployment.wait_for_log("draining")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as fabric:
            # A balancer continues to drain while packets arrive.
            for _ in range(100):
                fabric.sendto(b"packet", split_address(deployment.packets))
                time.sleep(0.02)
            assert process.poll() is None
            process.send_signal(signal.SIGINT)
        assert process.wait(STOP_TIMEOUT_S) == ExitCode.OK
    assert "drain cut short by a second signal" in deployment.log.read_text()


def test_metrics_contain_counters_with_their_reasons(deployment: Deployment) -> None:
    document = {
        **deployment.make_settings("balancer"),
        "metrics": {"address": deployment.metrics},
        "log": {"format": "json"},
    }
    url = f"http://{deployment.metrics}/metrics"
    dropped = 'lentilfork_events_total{event="dropped",reason="truncated"} 1.0'
    command = [sys.executable, "-m", "lentilfork.daemon"]
    command += ["--settings", str(deployment.write_settings(document))]
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
