"""Stand-ins and helpers that the review cases share."""
