"""JSON documents from other programs, read into validated models."""

from typing import TypeVar

import msgspec

__all__ = ["decode_json"]

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
