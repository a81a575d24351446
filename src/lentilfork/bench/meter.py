"""Measures control traffic, memory and processor time of a running deployment."""

import psutil

from lentilfork.bench.deployment import Deployment
from lentilfork.bench.plan import Host
from lentilfork.bench.plan import Wiring
from lentilfork.bench.proxied_wiring import ProxiedWiring

__all__ = ["ControlMeter", "measure_memory", "measure_processor_time"]

BYTES_PER_MB = 1_000_000


class ControlMeter(ProxiedWiring):
    """Wiring whose only proxies count bytes between balancers and controllers."""

    def get_controller(self, member: str, controller: Host) -> str:
        """Return the address of a proxy for balancers, the true one for agents."""
        if member.startswith("entry-"):
            return super().get_controller(member, controller)
        return controller.control_address

    def get_balancer(self, balancer: Host) -> str:
        """Return the true address."""
        return Wiring.get_balancer(self, balancer)

    def get_return_address(self, agent: str, return_address: str) -> str:
        """Return the true address."""
        return return_address

    def get_server(self, agent: str, server_address: str) -> str:
        """Return the true address."""
        return server_address

    def get_announced_host(self, agent: Host) -> Host:
        """Return the true addresses."""
        return agent

    def count_bytes(self) -> dict[str, int]:
        """Return the bytes forwarded in both directions so far, by balancer."""
        bytes_by_balancer: dict[str, int] = {}
        for (path, _), proxy in self.proxies.items():
            balancer = path.partition(">")[0]
            forwarded_bytes = proxy.counters.get("bytes", "forward")
            forwarded_bytes += proxy.counters.get("bytes", "backward")
            bytes_by_balancer[balancer] = (
                bytes_by_balancer.get(balancer, 0) + forwarded_bytes
            )
        return bytes_by_balancer


def measure_memory(deployment: Deployment) -> dict[str, float]:
    """Return the unique set size of each running process in megabytes."""
    return {
        name: psutil.Process(process.pid).memory_full_info().uss / BYTES_PER_MB
        for name, process in deployment.group.processes.items()
        if process.alive
    }


def measure_processor_time(deployment: Deployment) -> dict[str, float]:
    """Return the processor time each running process has used, in seconds."""
    times = {
        name: psutil.Process(process.pid).cpu_times()
        for name, process in deployment.group.processes.items()
        if process.alive
    }
    return {
        name: cpu_times.user + cpu_times.system for name, cpu_times in times.items()
    }
