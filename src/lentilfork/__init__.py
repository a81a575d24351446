"""A layer-4 load balancer and the state its processes share.

One daemon runs as a balancer, an agent or a controller; a separate command is
for operators. Decisions live in packages of their own (`routing`, `admission`,
`claims`, `agreement`, `membership`); the protocols towards the outside live in
`adapters`, which no decision imports.
"""

from typing import Final

__all__ = ["VERSION"]

VERSION: Final = "0.1.0"
