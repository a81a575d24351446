"""The majority log of the controllers: elections, replication, disk, snapshots."""
