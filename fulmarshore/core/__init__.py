"""Records and pure helpers that every role shares."""
