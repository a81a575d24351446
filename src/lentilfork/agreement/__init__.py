"""Raft-style consensus of the controllers on a replicated, durable log."""

from lentilfork.agreement.files import Files
from lentilfork.agreement.files import OsFiles
from lentilfork.agreement.proposals import ProposeFailure
from lentilfork.agreement.replica import Replica
from lentilfork.agreement.transport import Transport
from lentilfork.agreement.transport import TransportError

__all__ = [
    "Files",
    "OsFiles",
    "ProposeFailure",
    "Replica",
    "Transport",
    "TransportError",
]
