"""At-most-once execution: claims replicated over agents before a request runs."""

from lentilfork.claims.keys import CLAIM_SHARDS_PER_SERVICE
from lentilfork.claims.keys import exchange_key
from lentilfork.claims.keys import get_shard_name
from lentilfork.claims.keys import request_key
from lentilfork.claims.outcomes import AlreadyDone
from lentilfork.claims.outcomes import ClaimOutcome
from lentilfork.claims.outcomes import Grant
from lentilfork.claims.outcomes import Granted
from lentilfork.claims.outcomes import HeldElsewhere
from lentilfork.claims.outcomes import NoQuorum
from lentilfork.claims.outcomes import RefusedBefore
from lentilfork.claims.outcomes import Released
from lentilfork.claims.outcomes import WaitOutcome
from lentilfork.claims.peers import GrpcPeers
from lentilfork.claims.peers import Peers
from lentilfork.claims.plan import CLAIM_VOTERS
from lentilfork.claims.plan import plan_shards
from lentilfork.claims.plan import track_lost_voters
from lentilfork.claims.records import MAXIMUM_ANSWER_BYTES
from lentilfork.claims.runner import ClaimClient
from lentilfork.claims.voter import ClaimVoter

__all__ = [
    "CLAIM_SHARDS_PER_SERVICE",
    "CLAIM_VOTERS",
    "MAXIMUM_ANSWER_BYTES",
    "AlreadyDone",
    "ClaimClient",
    "ClaimOutcome",
    "ClaimVoter",
    "Grant",
    "Granted",
    "GrpcPeers",
    "HeldElsewhere",
    "NoQuorum",
    "Peers",
    "RefusedBefore",
    "Released",
    "WaitOutcome",
    "exchange_key",
    "get_shard_name",
    "plan_shards",
    "request_key",
    "track_lost_voters",
]
