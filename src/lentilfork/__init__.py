"""A layer-4 load balancer and the replicated state that its processes share.

One daemon runs as a balancer, an agent or a controller; a separate command is for
operators. The packages that make decisions (`routing`, `admission`, `claims`,
`agreement`, `membership`) do not import `adapters`, which contains the protocols spoken
with callers, backend servers and the fabric.
"""

from typing import Final

__all__ = ["VERSION"]

VERSION: Final = "0.1.0"
