"""Preset definitions with a price of traffic between data centres."""

import pytest
from pydantic import ValidationError

from lentilfork.cli.definitions import PRESET_ADAPTER
from lentilfork.cli.presets import get_transfer_price

DEFINITION = {
    "name": "sale",
    "queue_per_slot": 4,
    "queue_time_ms": 600,
    "retry_budget_percent": 5,
    "drain_ms": 60_000,
    "cold_start_ms": 5_000,
}


# Guards against a price that is shown differently from how it was written.
@pytest.mark.parametrize("price", [0, 7, 1_000, 1_000_000, "never"])
def test_price_is_shown_as_it_was_written(price: int | str) -> None:
    document = {**DEFINITION, "transfer_ms_per_mb": price}
    message = PRESET_ADAPTER.validate_python(document).to_message()
    assert get_transfer_price(message) == price


# Guards against files of earlier builds being refused.
def test_definition_without_a_price_has_the_default() -> None:
    message = PRESET_ADAPTER.validate_python(DEFINITION).to_message()
    assert get_transfer_price(message) == 1_000


# Guards against a price that the controllers refuse only after it was sent.
@pytest.mark.parametrize("price", [-1, 1_000_001, "always", 0.5, True])
def test_other_prices_are_refused(price: object) -> None:
    with pytest.raises(ValidationError, match="transfer_ms_per_mb"):
        PRESET_ADAPTER.validate_python({**DEFINITION, "transfer_ms_per_mb": price})
