"""Who is part of the system: announcements, leases and the feed of the state."""
