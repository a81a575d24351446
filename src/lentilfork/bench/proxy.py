"""Proxies that drop, delay, duplicate, reorder, cut or pause network traffic.

A proxy listens in place of a target and forwards datagrams or connections to it.
Faults are drawn from a seeded random generator and can be changed at run time with
`apply`. Runs in-process (`open_proxy`), or as a process that serves many paths:
`python -m lentilfork.bench.proxy FILE`.
"""

import asyncio
import contextlib
import sys
from pathlib import Path

from pydantic import BaseModel
from pydantic import ConfigDict

from lentilfork.bench.control import ControlChange
from lentilfork.bench.control import serve_control
from lentilfork.bench.faults import Faults
from lentilfork.bench.faults import PathConfig
from lentilfork.bench.faults import Proxy
from lentilfork.bench.tcp_proxy import TcpProxy
from lentilfork.bench.udp_proxy import UdpProxy

__all__ = [
    "Faults",
    "PathConfig",
    "Proxy",
    "ProxyConfig",
    "TcpProxy",
    "UdpProxy",
    "open_proxy",
]


class ProxyConfig(BaseModel):
    """Configuration of one proxy process."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    paths: tuple[PathConfig, ...]
    seed: int = 1


def open_proxy(config: PathConfig, seed: int) -> Proxy:
    """Return an open proxy for a path; raises OSError if it cannot bind."""
    kinds: dict[str, type[Proxy]] = {"udp": UdpProxy, "tcp": TcpProxy}
    proxy = kinds[config.kind](config, seed)
    proxy.open()
    return proxy


class ProxyProcess:
    """The proxies of all paths of one process."""

    # Proxy of each path, by path name.
    proxies: dict[str, Proxy]

    def __init__(self, config: ProxyConfig) -> None:
        self.proxies = {
            path.name: open_proxy(path, config.seed) for path in config.paths
        }

    def apply(self, change: ControlChange) -> None:
        """Change the faults of a path: `{"path": NAME, "faults": {...}}`."""
        self.proxies[change["path"]].apply(change["faults"])

    def close(self) -> None:
        """Close all paths."""
        for proxy in self.proxies.values():
            proxy.close()


async def run(config: ProxyConfig) -> None:
    """Serve until asked to stop."""
    process = ProxyProcess(config)
    try:
        await serve_control(process.apply)
    finally:
        process.close()


def main() -> None:
    """Run the proxies configured by the file named in the first argument."""
    text = Path(sys.argv[1]).read_text(encoding="utf-8")
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(run(ProxyConfig.model_validate_json(text)))


if __name__ == "__main__":
    main()
