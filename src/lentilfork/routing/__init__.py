"""Routing of packets to agents: buckets, owners, directory and placement."""

from lentilfork.directory import DOWNLOAD_LIFETIME_S
from lentilfork.directory import EXCHANGE_LIFETIME_S
from lentilfork.directory import Directory
from lentilfork.directory import make_download_key
from lentilfork.directory import make_exchange_key
from lentilfork.routing.buckets import find_bucket
from lentilfork.routing.loads import LoadReport
from lentilfork.routing.loads import LoadTable
from lentilfork.routing.placement import choose_agent
from lentilfork.routing.table import RoutingTable
from lentilfork.routing.table import ServiceRoute

__all__ = [
    "DOWNLOAD_LIFETIME_S",
    "EXCHANGE_LIFETIME_S",
    "Directory",
    "LoadReport",
    "LoadTable",
    "RoutingTable",
    "ServiceRoute",
    "choose_agent",
    "find_bucket",
    "make_download_key",
    "make_exchange_key",
]
