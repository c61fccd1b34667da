"""Time lines of many processes as one."""
