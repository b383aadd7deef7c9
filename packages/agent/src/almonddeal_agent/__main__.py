"""Entry point of ``almonddeal-agent``."""

from almonddeal_common.pending_signals import block_signals


def main():
    """Run the agent; signals are pending until it handles them."""
    block_signals()
    # The imports take longer than anything else in a start.
    from almonddeal_agent.main import main as run_agent

    run_agent()


if __name__ == "__main__":
    main()
