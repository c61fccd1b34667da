"""Records and pure helper functions shared by every role."""
