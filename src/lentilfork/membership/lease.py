"""A member's own view of its lease.

The leader of the controllers keeps a lease for each member and removes a member
whose lease has expired from the agreed state. A process that was stopped may have
lost its lease without noticing. So a member that did not run for longer than its
lease treats the lease as void when it resumes, until the leader has acknowledged a
heartbeat sent after that and the member has reached the generation that the leader
had then. While no controller responds, no controller can remove the member, and
its lease stays valid.
"""

from typing import Final

__all__ = ["LEASE_MS", "MemberLease"]

# Time without a heartbeat after which the leader may remove a member.
LEASE_MS: Final = 2_000
# A longer gap between two ticks means that the process did not run.
STALL_THRESHOLD_MS: Final = 1_000


class MemberLease:
    """The lease of this process as far as the process itself can know it."""

    # The leader has admitted this incarnation, and the lease has not been void since.
    admitted: bool
    # The lease is valid only once this process has reached this generation.
    required_generation: int
    # Sequence of the first heartbeat sent after the lease was last void.
    first_sequence: int
    # Send time of the newest acknowledged heartbeat.
    acknowledged_ms: int
    # Time of the last tick.
    last_tick_ms: int
    # How often the lease was void after this process had been stopped.
    void_count: int

    def __init__(self, now_ms: int) -> None:
        self.admitted = False
        self.required_generation = 0
        self.first_sequence = 1
        self.acknowledged_ms = now_ms
        self.last_tick_ms = now_ms
        self.void_count = 0

    def is_void(self, now_ms: int) -> bool:
        """Return whether the process was stopped for longer than its lease."""
        stopped = now_ms - self.last_tick_ms > STALL_THRESHOLD_MS
        return stopped and now_ms - self.acknowledged_ms > LEASE_MS

    def tick(self, now_ms: int, next_sequence: int) -> bool:
        """Record that the process runs; return whether its lease has become void.

        `next_sequence` is the sequence of the next heartbeat to be sent.
        """
        void = self.is_void(now_ms)
        self.last_tick_ms = now_ms
        if void:
            self.admitted = False
            self.first_sequence = next_sequence
            self.void_count += 1
        return void

    def acknowledge(
        self, sequence: int, sent_ms: int, admitted: bool, generation: int
    ) -> None:
        """Handle the leader's acknowledgement of a heartbeat sent at `sent_ms`.

        `admitted` tells whether `generation`, the leader's when it acknowledged,
        contains this incarnation.
        """
        self.acknowledged_ms = max(self.acknowledged_ms, sent_ms)
        if sequence < self.first_sequence:
            return
        if admitted and not self.admitted:
            self.required_generation = generation
        self.admitted = admitted

    def is_valid(self, now_ms: int, generation: int) -> bool:
        """Return whether the lease is valid for a process at this generation."""
        current = generation >= self.required_generation
        return self.admitted and current and not self.is_void(now_ms)
