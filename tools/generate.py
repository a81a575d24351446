"""Generate the protobuf modules and the JSON Schemas of the JSON files.

Writes the protobuf modules, their type stubs and the JSON Schemas of settings and
definition files to the folder of the ``.proto`` files. With ``--check`` nothing is
written, and the exit code is 1 if the committed files differ from the generated ones.
"""

import argparse
import filecmp
import json
import shutil
import sys
import tempfile
from importlib import resources
from pathlib import Path
from typing import Any

from grpc_tools import protoc
from pydantic import TypeAdapter

ROOT = Path(__file__).resolve().parent.parent
SOURCE = ROOT / "src"
SCHEMA = SOURCE / "lentilfork" / "schema"
# The protoc plugins are in the same folder as the interpreter of the environment.
PLUGINS = Path(sys.executable).parent
GENERATED_PATTERNS = (
    "*_pb2.py",
    "*_pb2.pyi",
    "*_pb2_grpc.py",
    "*_pb2_grpc.pyi",
    "*.schema.json",
)
JSON_SCHEMA_DIALECT = "https://json-schema.org/draft/2020-12/schema"


def generate_messages(target: Path) -> None:
    """Write the modules of every message schema below `target`."""
    well_known = resources.files("grpc_tools") / "_proto"
    protos = [str(path.relative_to(SOURCE)) for path in sorted(SCHEMA.glob("*.proto"))]
    arguments = [
        "protoc",
        f"--proto_path={SOURCE}",
        f"--proto_path={well_known}",
        f"--python_out={target}",
        f"--grpc_python_out={target}",
        f"--plugin=protoc-gen-mypy={PLUGINS / 'protoc-gen-mypy'}",
        f"--plugin=protoc-gen-mypy_grpc={PLUGINS / 'protoc-gen-mypy_grpc'}",
        f"--mypy_out=quiet:{target}",
        f"--mypy_grpc_out=quiet:{target}",
        *protos,
    ]
    if protoc.main(arguments) != 0:
        raise SystemExit("generate: protoc failed")


def generate_document_schemas(target: Path) -> None:
    """Write the JSON Schemas of the settings and definition files below `target`."""
    from lentilfork.cli import CLIENT_ADAPTER
    from lentilfork.cli import PRESET_ADAPTER
    from lentilfork.cli import SERVICE_ADAPTER
    from lentilfork.settings import SETTINGS_ADAPTER

    adapters: dict[str, TypeAdapter[Any]] = {
        "settings": SETTINGS_ADAPTER,
        "client": CLIENT_ADAPTER,
        "service": SERVICE_ADAPTER,
        "preset": PRESET_ADAPTER,
    }
    folder = target / "lentilfork" / "schema"
    folder.mkdir(parents=True, exist_ok=True)
    for name, adapter in adapters.items():
        schema = {"$schema": JSON_SCHEMA_DIALECT, **adapter.json_schema()}
        text = json.dumps(schema, indent=2, sort_keys=True) + "\n"
        (folder / f"{name}.schema.json").write_text(text, encoding="utf-8")


def list_generated(folder: Path) -> list[Path]:
    """Return the generated files of a schema folder, sorted by name."""
    return sorted(
        path for pattern in GENERATED_PATTERNS for path in folder.glob(pattern)
    )


def find_outdated(generated: Path) -> list[str]:
    """Return the names of files that differ, are missing or should not exist."""
    generated_names = {path.name for path in list_generated(generated)}
    committed_names = {path.name for path in list_generated(SCHEMA)}
    changed = {
        name
        for name in generated_names & committed_names
        if not filecmp.cmp(generated / name, SCHEMA / name, shallow=False)
    }
    return sorted(changed | (generated_names ^ committed_names))


def main() -> int:
    """Generate or check all files; return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as folder:
        target = Path(folder)
        generate_messages(target)
        generate_document_schemas(target)
        generated = target / "lentilfork" / "schema"
        if arguments.check:
            outdated = find_outdated(generated)
            if outdated:
                print("generated files are out of date:", ", ".join(outdated))
            return 1 if outdated else 0
        for path in list_generated(generated):
            shutil.copyfile(path, SCHEMA / path.name)
    return 0


if __name__ == "__main__":
    sys.exit(main())
