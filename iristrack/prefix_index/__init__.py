"""Which model servers and stores keep which parts of prompts: deciders without I/O; time is an argument.

`parts` reads the prompt's parts from a request, `kv_events` the calls' answers that tell what a holder keeps, `index`
keeps it and answers routing's questions from it, `table` bounds it, `pending_prefills` knows who reads a shared part
for the first time just now, and `digest` hands one watcher's knowledge of a holder on to others.

What the index says is advice. A holder checks for itself what it keeps, so an entry that is stale, late or false costs
at most a miss there.
"""
