"""Settings files: accepted content and the messages of refusals."""

import json
from pathlib import Path

import pytest
from hypothesis import HealthCheck
from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from result import Err

from lentilfork.settings import load_settings

BALANCER: dict[str, object] = {
    "role": "balancer",
    "name": "entry-1",
    "data_centre": "kandy-a",
    "control_address": "127.0.0.1:7001",
    "controllers": ["127.0.0.1:7000"],
    "packet_address": "127.0.0.1:6001",
}

CONTROLLER: dict[str, object] = {
    "role": "controller",
    "name": "control-1",
    "data_centre": "kandy-a",
    "control_address": "127.0.0.1:7000",
    "controllers": [{"name": "control-1", "address": "127.0.0.1:7000"}],
    "data_folder": "/var/lib/lentilfork",
}

# Valid settings, the change to them, and the start of the error message.
REFUSED: dict[str, tuple[dict[str, object], dict[str, object], str]] = {
    "unknown key": (BALANCER, {"speed": 3}, "key speed: unknown; expected no such key"),
    "unknown key inside": (
        BALANCER,
        {"log": {"colour": "red"}},
        "key log.colour: unknown; expected no such key",
    ),
    "number as text": (
        CONTROLLER,
        {"silence_limit_percent": "50"},
        "key silence_limit_percent: Input should be a valid integer",
    ),
    "number instead of list": (BALANCER, {"controllers": 7}, "key controllers:"),
    "empty list": (BALANCER, {"controllers": []}, "key controllers:"),
    "host name": (
        BALANCER,
        {"packet_address": "localhost:7000"},
        "key packet_address: expected IPv4:PORT, such as 127.0.0.1:7000",
    ),
    "port out of range": (
        BALANCER,
        {"packet_address": "127.0.0.1:65536"},
        "key packet_address: expected IPv4:PORT",
    ),
    "unknown role": (
        BALANCER,
        {"role": "cook"},
        "key role: expected one of agent, balancer, controller",
    ),
    "upper case name": (BALANCER, {"name": "Entry"}, "key name: String should match"),
    "one name for two controllers": (
        CONTROLLER,
        {
            "controllers": [
                {"name": "one", "address": f"127.0.0.1:{port}"} for port in (1, 2)
            ]
        },
        "key controllers: expected a name and an address of its own for each",
    ),
}


def write_settings(folder: Path, document: object) -> Path:
    path = folder / "settings.json"
    path.write_text(json.dumps(document), encoding="utf-8")
    return path


def test_balancer_settings_are_accepted(tmp_path: Path) -> None:
    loaded = load_settings(write_settings(tmp_path, BALANCER)).unwrap()
    assert loaded.role == "balancer"
    assert loaded.name == "entry-1"


@pytest.mark.parametrize("case", REFUSED)
def test_refusal_names_file_key_and_expected_value(tmp_path: Path, case: str) -> None:
    document, change, expected = REFUSED[case]
    path = write_settings(tmp_path, {**document, **change})
    failure = load_settings(path).unwrap_err()
    assert failure.peer == str(path)
    assert failure.message.startswith(expected)


@pytest.mark.parametrize("key", ["name", "data_folder", "controllers"])
def test_missing_key_is_named(tmp_path: Path, key: str) -> None:
    document = {name: value for name, value in CONTROLLER.items() if name != key}
    failure = load_settings(write_settings(tmp_path, document)).unwrap_err()
    assert failure.message == f"key {key}: missing; expected a value"


# Values of any type at known and arbitrary keys.
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)
KEYS = st.sampled_from(sorted({*BALANCER, *CONTROLLER, "log", "tls"})) | st.text()
DOCUMENTS = st.dictionaries(KEYS, VALUES, max_size=4).map(
    lambda change: json.dumps({**CONTROLLER, **change}).encode()
)


@given(content=DOCUMENTS | st.binary())
@example(content=b"1" * 5_000)
@example(content=json.dumps({**CONTROLLER, "two\nlines": 1}).encode())
@example(content=b'{"two\\nlines": 1, "two\\nlines": 2}')
@example(content=b'{"role": "\\ud800"}')
@settings(deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
def test_any_content_is_accepted_or_refused_in_one_line(
    tmp_path: Path, content: bytes
) -> None:
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        assert len(str(loaded.err_value).splitlines()) == 1
