"""A member's own view of its lease.

The leader of the controllers keeps a lease for each member and takes a member
whose lease has run out of the agreed state. A process that was stopped may have
lost its lease without noticing. So a member that did not run for longer than its
lease counts the lease as void from the moment it runs again, until the leader has
acknowledged a heartbeat sent after that moment and the member has the generation
the leader had then. Without controllers nobody can end the lease; it holds.
"""

from typing import Final

__all__ = ["LEASE_MS", "OwnLease"]

# Silence after which the leader takes a member out.
LEASE_MS: Final = 2_000
# A gap between two ticks that counts as "did not run".
FROZEN_MS: Final = 1_000


class OwnLease:
    """Tell whether this process may still count as a member."""

    # The leader has admitted this incarnation, and nothing has voided that since.
    admitted: bool
    # Generation this process must have before the admission counts.
    required_generation: int
    # Heartbeats from this one on were sent after the last void.
    first_sequence: int
    # When the newest acknowledged heartbeat was sent.
    acknowledged_ms: int
    # When this process was last seen running.
    ticked_ms: int
    # How often the lease was void after a stop.
    voided: int

    def __init__(self, now_ms: int) -> None:
        self.admitted = False
        self.required_generation = 0
        self.first_sequence = 1
        self.acknowledged_ms = now_ms
        self.ticked_ms = now_ms
        self.voided = 0

    def is_void(self, now_ms: int) -> bool:
        """Tell whether the process has not run for longer than its lease."""
        stopped = now_ms - self.ticked_ms > FROZEN_MS
        return stopped and now_ms - self.acknowledged_ms > LEASE_MS

    def tick(self, now_ms: int, next_sequence: int) -> bool:
        """Note that the process runs; return True if its lease has become void.

        `next_sequence` is that of the next heartbeat to be sent.
        """
        void = self.is_void(now_ms)
        self.ticked_ms = now_ms
        if void:
            self.admitted = False
            self.first_sequence = next_sequence
            self.voided += 1
        return void

    def acknowledge(
        self, sequence: int, sent_ms: int, admitted: bool, generation: int
    ) -> None:
        """Take the leader's word on a heartbeat that was sent at `sent_ms`."""
        self.acknowledged_ms = max(self.acknowledged_ms, sent_ms)
        if sequence < self.first_sequence:
            return
        if admitted and not self.admitted:
            self.required_generation = generation
        self.admitted = admitted

    def holds(self, now_ms: int, generation: int) -> bool:
        """Tell whether the lease holds for a process at this generation."""
        current = generation >= self.required_generation
        return self.admitted and current and not self.is_void(now_ms)
