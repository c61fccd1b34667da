"""What an upstream bears, and work that runs once."""
