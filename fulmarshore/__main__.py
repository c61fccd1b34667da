"""Run the command line, as ``fulmarshore`` or ``python -m fulmarshore``."""

from fulmarshore.adapters.signals import defer_signals


def main() -> None:
    """Run the command line; a daemon gets signals once it can handle them."""
    defer_signals()
    from fulmarshore.commands.main import cli

    cli()


if __name__ == "__main__":
    main()
