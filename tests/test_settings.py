"""Settings files: what is accepted and how a refusal reads."""

import json
from pathlib import Path

import pytest

from lentilfork.settings import load_settings

BALANCER = {
    "role": "balancer",
    "name": "entry-1",
    "data_centre": "kandy-a",
    "control_address": "127.0.0.1:7001",
    "controllers": ["127.0.0.1:7000"],
    "packet_address": "127.0.0.1:6001",
}

REFUSED: dict[str, tuple[dict[str, object], str]] = {
    "unknown key": ({"speed": 3}, "key speed: unknown; expected no such key"),
    "wrong type": ({"controllers": 7}, "key controllers:"),
    "not an address": (
        {"packet_address": "localhost"},
        "key packet_address: expected IPv4:PORT, such as 127.0.0.1:7000",
    ),
    "unknown role": ({"role": "cook"}, "key role:"),
}


def write_settings(folder: Path, document: object) -> Path:
    path = folder / "settings.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    return path


def test_balancer_settings_are_accepted(tmp_path: Path) -> None:
    settings = load_settings(write_settings(tmp_path, BALANCER)).unwrap()
    assert settings.role == "balancer"
    assert settings.name == "entry-1"


@pytest.mark.parametrize("case", REFUSED)
def test_refusal_names_file_key_and_expectation(tmp_path: Path, case: str) -> None:
    change, expected = REFUSED[case]
    path = write_settings(tmp_path, {**BALANCER, **change})
    failure = load_settings(path).unwrap_err()
    assert failure.peer == str(path)
    assert failure.message.startswith(expected)
