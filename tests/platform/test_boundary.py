"""The platform adapter is small, decides nothing and is not used by the product."""

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

SOURCE = Path(__file__).resolve().parents[2] / "src" / "lentilfork"
PLATFORM_ADAPTER = SOURCE / "platform"
MAXIMUM_LINES = 800
PLATFORM_WORDS = (
    "heartbeat_addr",
    "path_prefix",
    "target_latency_ms",
    "BOUNCED",
    "max_conns",
    "datagram_addr",
    "readiness_addr",
    "fault_counted",
    "/v1/",
)
# Clocks, timers, randomness and the modules that decide about flows.
FORBIDDEN_IN_ADAPTER = (
    "time",
    "random",
    "lentilfork.forwarding.placement",
    "lentilfork.forwarding.loads",
    "lentilfork.forwarding.ownership",
    "lentilfork.agreement",
)


def list_product_files() -> list[Path]:
    return [
        path
        for path in SOURCE.rglob("*.py")
        if PLATFORM_ADAPTER not in path.parents and "_pb2" not in path.name
    ]


def list_imports(path: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.Import):
            yield from (item.name for item in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            yield node.module


def test_product_does_not_import_the_adapter() -> None:
    importing = [
        path.name
        for path in list_product_files()
        if any(name.startswith("lentilfork.platform") for name in list_imports(path))
    ]
    assert importing == []


@pytest.mark.parametrize("word", PLATFORM_WORDS)
def test_product_does_not_know_the_platforms_words(word: str) -> None:
    found = [
        path.name
        for path in list_product_files()
        if word in path.read_text(encoding="utf-8")
    ]
    assert found == []


@pytest.mark.parametrize(
    "path", sorted(PLATFORM_ADAPTER.glob("*.py")), ids=lambda path: path.name
)
def test_adapter_imports_no_timer_and_no_policy(path: Path) -> None:
    found = [
        name
        for name in list_imports(path)
        if name in FORBIDDEN_IN_ADAPTER
        or any(name.startswith(f"{item}.") for item in FORBIDDEN_IN_ADAPTER)
    ]
    assert found == []
    assert "asyncio.sleep" not in path.read_text(encoding="utf-8")


def test_adapter_is_small() -> None:
    lines = sum(
        len(path.read_text(encoding="utf-8").splitlines())
        for path in PLATFORM_ADAPTER.glob("*.py")
    )
    assert lines <= MAXIMUM_LINES
