"""Direct data path: packets carry both addresses and replies bypass the entry host."""
