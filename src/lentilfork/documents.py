"""JSON and TOML documents from other programs, read into validated models."""

import tomllib
from pathlib import Path
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

from lentilfork.errors import ExitCode
from lentilfork.errors import Failure

__all__ = ["decode_json", "load_toml"]

Model = TypeVar("Model")


def decode_json(body: bytes, model: type[Model]) -> Model:
    """Return the model in a JSON body; msgspec.DecodeError if it does not match."""
    try:
        # msgspec does not check the encoding of fields that the model ignores.
        return msgspec.json.decode(body.decode(), type=model)
    except UnicodeDecodeError:
        raise msgspec.DecodeError("invalid UTF-8") from None
    except RecursionError:
        raise msgspec.DecodeError("nested too deeply") from None


def load_toml(path: Path, model: type[Model], step: str) -> Result[Model, Failure]:
    """Return the model in a TOML file; a failure of `step` names file and reason."""
    try:
        values = tomllib.loads(path.read_text(encoding="utf-8"))
        return Ok(msgspec.convert(values, model))
    except OSError as error:
        message = f"{error.strerror or error}; expected a readable file"
    except UnicodeDecodeError:
        message = "expected UTF-8 text"
    except tomllib.TOMLDecodeError as error:
        message = f"{error}; expected TOML"
    except msgspec.ValidationError as error:
        message = f"{error}"
    except ValueError as error:
        # An integer with more digits than `int` converts.
        message = f"{error}; expected TOML"
    except RecursionError:
        message = "nested too deeply"
    return Err(Failure(step, str(path), message, ExitCode.USAGE))
