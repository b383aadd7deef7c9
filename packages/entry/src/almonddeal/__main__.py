"""Entry point of ``almonddeal``."""

from almonddeal_common.pending_signals import block_signals


def main():
    """Run the command line; signals are pending until the command is known."""
    block_signals()
    # The imports take longer than anything else in a start.
    from almonddeal.cli.main import main as run_command

    run_command()


if __name__ == "__main__":
    main()
