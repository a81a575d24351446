"""Wiring of a deployment with a proxy on every path between its processes.

A path is named `SOURCE>DESTINATION`; `*` stands for any process:

    fabric>entry-1          packets to a balancer
    *>warnings-1            packets and claims to an agent, from any process
    warnings-1>fabric       answers
    warnings-1>server       calls to the backend server
    warnings-1>control-1    heartbeats and updates of a member

Paths between controllers have no proxy, because a controller is known to the others
by the address that it binds. The proxies run in the calling process.
"""

import fnmatch
from dataclasses import replace
from typing import Any
from typing import Literal

from lentilfork.bench.addresses import AddressBlock
from lentilfork.bench.plan import Host
from lentilfork.bench.plan import Wiring
from lentilfork.bench.proxy import PathConfig
from lentilfork.bench.proxy import Proxy
from lentilfork.bench.proxy import open_proxy

__all__ = ["ProxiedWiring"]


class ProxiedWiring(Wiring):
    """Opens a proxy for each path when its address is first requested.

    Needs a running event loop; close it after the deployment.
    """

    seed: int
    addresses: AddressBlock
    # Proxies by path name and kind.
    proxies: dict[tuple[str, str], Proxy]

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.addresses = AddressBlock()
        self.proxies = {}

    def close(self) -> None:
        """Close all proxies."""
        for proxy in self.proxies.values():
            proxy.close()
        self.addresses.close()

    def get_proxy_address(
        self, path: str, kind: Literal["udp", "tcp"], target: str
    ) -> str:
        """Return the address of the proxy on a path; opens it on first use."""
        proxy = self.proxies.get((path, kind))
        if proxy is None:
            _, _, port = target.rpartition(":")
            listen = self.addresses.allocate_address(int(port))
            config = PathConfig(name=path, kind=kind, listen=listen, target=target)
            proxy = open_proxy(config, self.seed)
            self.proxies[path, kind] = proxy
        return proxy.config.listen

    def apply(self, pattern: str, **faults: Any) -> list[str]:
        """Change faults on all paths whose names match `pattern`; returns their names.

        Raises ValueError if no path matches or a fault is invalid.
        """
        names = [name for name, _ in self.proxies if fnmatch.fnmatchcase(name, pattern)]
        if not names:
            raise ValueError(f"no path matches {pattern!r}")
        for (name, _), proxy in self.proxies.items():
            if name in names:
                proxy.apply(faults)
        return names

    def get_controller(self, member: str, controller: Host) -> str:
        """Return the proxy through which `member` reaches a controller."""
        path = f"{member}>{controller.name}"
        return self.get_proxy_address(path, "tcp", controller.control_address)

    def get_balancer(self, balancer: Host) -> str:
        """Return the proxy through which the fabric reaches a balancer."""
        path = f"fabric>{balancer.name}"
        return self.get_proxy_address(path, "udp", balancer.packet_address)

    def get_return_address(self, agent: str, return_address: str) -> str:
        """Return the proxy to which an agent sends answers."""
        return self.get_proxy_address(f"{agent}>fabric", "udp", return_address)

    def get_server(self, agent: str, server_address: str) -> str:
        """Return the proxy through which an agent reaches its backend server."""
        return self.get_proxy_address(f"{agent}>server", "tcp", server_address)

    def get_announced_host(self, agent: Host) -> Host:
        """Return an agent's host with the proxies through which others reach it."""
        path = f"*>{agent.name}"
        return replace(
            agent,
            packet_address=self.get_proxy_address(path, "udp", agent.packet_address),
            control_address=self.get_proxy_address(path, "tcp", agent.control_address),
        )
