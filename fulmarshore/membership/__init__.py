"""Who is there and which configuration is in force."""
