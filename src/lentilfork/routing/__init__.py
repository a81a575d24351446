"""Which agent serves a packet: buckets, owners, directory and placement."""
