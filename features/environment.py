"""Starts and ends the fleets that the scenarios ask for."""

import logging

from almonddeal_tools.fleet import Fleet


class FleetHolder:
    """Keeps one fleet for the scenarios of a feature."""

    def __init__(self):
        self.fleet = None

    def get(self):
        if self.fleet is None:
            self.fleet = Fleet(stop_timeout_s=3.0).__enter__()
        return self.fleet

    def close(self):
        if self.fleet is not None:
            self.fleet.__exit__(None, None, None)
            self.fleet = None


def before_feature(context, feature):
    context.holder = FleetHolder()


def after_feature(context, feature):
    context.holder.close()


def before_scenario(context, scenario):
    context.answers = []
    context.replies = []


def before_all(context):
    logging.getLogger("httpx").setLevel(logging.WARNING)
