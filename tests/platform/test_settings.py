"""The platform's settings file: values of each role and errors with their key."""

from pathlib import Path

import pytest
from result import Err

from lentilfork.errors import ExitCode
from lentilfork.platform.main import main
from lentilfork.platform.settings import MissingKeyError
from lentilfork.platform.settings import load_settings
from lentilfork.platform.settings import make_agent_settings
from lentilfork.platform.settings import make_balancer_settings
from lentilfork.platform.settings import make_controller_settings

SETTINGS_TEXT = """
node_id = "edge-1"
role = "balancer"
ip = "10.0.0.1"
zone = "north"
internal_ports = [7000, 7015]
seeds = ["10.0.0.1:9000", "10.0.1.1:9000"]
bootstrap = true
data_dir = "/data/balancer"
heartbeat_ms = 800
something_new = "ignored"
[listen]
datagram_addr = "10.0.0.1:9100"
readiness_addr = "10.0.0.1:9200"
control = "10.0.0.1:9000"
[fault_tolerance]
machines = 1
[bounds]
grace_s = 6
catch_up_s = 4
"""


def write(folder: Path, text: str) -> Path:
    path = folder / "boot.toml"
    path.write_text(text, encoding="utf-8")
    return path


def test_balancer_settings(tmp_path: Path) -> None:
    settings = make_balancer_settings(
        load_settings(write(tmp_path, SETTINGS_TEXT)).unwrap()
    )
    assert settings.packet_address == ("10.0.0.1", 9100)
    assert settings.address == ("10.0.0.1", 7001)
    assert settings.controllers == (("10.0.0.1", 7000), ("10.0.1.1", 7000))
    assert settings.caller_port == 9100


def test_controller_settings(tmp_path: Path) -> None:
    settings = make_controller_settings(
        load_settings(write(tmp_path, SETTINGS_TEXT)).unwrap()
    )
    assert settings.may_begin
    assert settings.tolerated_losses == 1
    assert settings.replace_silent_ms == 2000
    assert settings.data_folder == Path("/data/balancer")


def test_controller_without_a_disk_has_no_data_folder(tmp_path: Path) -> None:
    text = SETTINGS_TEXT.replace('data_dir = "/data/balancer"', "")
    settings = make_controller_settings(load_settings(write(tmp_path, text)).unwrap())
    assert settings.data_folder is None


def test_agent_settings(tmp_path: Path) -> None:
    text = SETTINGS_TEXT.replace(
        "[listen]",
        'service = "chairs"\napp = "10.0.0.1:8080"\n[listen]\n'
        'outbound = "10.0.0.1:8500"',
    )
    settings = make_agent_settings(load_settings(write(tmp_path, text)).unwrap())
    assert settings.service == "chairs"
    assert settings.server_address == ("10.0.0.1", 8080)
    assert settings.outbound_address == ("10.0.0.1", 8500)
    assert settings.server_interval_s == 0.8


def test_missing_key_of_a_role_is_reported(tmp_path: Path) -> None:
    settings = load_settings(write(tmp_path, SETTINGS_TEXT)).unwrap()
    with pytest.raises(MissingKeyError) as caught:
        make_agent_settings(settings)
    assert caught.value.key == "service"


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ('zone = "north"', "zone = 3", "zone"),
        ("internal_ports = [7000, 7015]", 'internal_ports = "7000"', "internal_ports"),
        ('"10.0.1.1:9000"', '"nowhere"', "seeds"),
        ('ip = "10.0.0.1"', "", "ip"),
        ("[listen]", "[listen", "TOML"),
    ],
)
def test_invalid_settings_are_refused_with_their_key(
    tmp_path: Path, before: str, after: str, expected: str
) -> None:
    loaded = load_settings(write(tmp_path, SETTINGS_TEXT.replace(before, after)))
    assert isinstance(loaded, Err)
    assert expected in loaded.err_value.message


# Guards against a process that stops following its settings file after an odd edit.
@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ("heartbeat_ms = 800", f"odd = {'[' * 9_999}{']' * 9_999}", "nested"),
        ("heartbeat_ms = 800", f"odd = {'{a=' * 9_999}1{'}' * 9_999}", "nested"),
        ("heartbeat_ms = 800", f"heartbeat_ms = {'9' * 5_000}", "digits"),
        ("heartbeat_ms = 800", f"heartbeat_ms = {'9' * 400}", "heartbeat_ms"),
        ("[7000, 7015]", "[99999, 99999]", "internal_ports"),
        ("[7000, 7015]", "[65536, 7015]", "internal_ports"),
        ("[7000, 7015]", "[0, 7015]", "internal_ports"),
        ("[7000, 7015]", "[-1, 7015]", "internal_ports"),
        ("[7000, 7015]", f"[{10**30}, 7015]", "internal_ports"),
        ("10.0.1.1:9000", "10.0.1.1:99999", "seeds"),
        ("10.0.1.1:9000", f"10.0.1.1:{'9' * 5_000}", "seeds"),
        ("10.0.1.1:9000", "999.0.1.1:9000", "seeds"),
    ],
)
def test_odd_settings_are_refused_and_do_not_raise(
    tmp_path: Path, before: str, after: str, expected: str
) -> None:
    text = SETTINGS_TEXT.replace(before, after)
    assert text != SETTINGS_TEXT
    loaded = load_settings(write(tmp_path, text))
    assert isinstance(loaded, Err)
    assert expected in loaded.err_value.message


def test_check_reports_whether_settings_are_valid(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write(tmp_path, SETTINGS_TEXT)
    assert main(["balancer", "--settings", str(path), "--check"]) == ExitCode.OK
    assert "correct" in capsys.readouterr().out
    missing = tmp_path / "missing.toml"
    code = main(["balancer", "--settings", str(missing), "--check"])
    assert code == ExitCode.USAGE
