"""Limits: slots, queue, deadlines, retry budget and hedging."""
