"""Who is there: the view of all members, the ring that names each one's watchers, and what a watcher decides."""
