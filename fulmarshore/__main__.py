"""Run the command line as ``python -m fulmarshore``."""

from fulmarshore.commands.main import cli

if __name__ == "__main__":
    cli()
