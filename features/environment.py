"""Behave hooks; each feature starts its own fleet, on first use."""

import logging

from almonddeal_tools.fleet import Fleet


class FeatureFleet:
    """One fleet, started on first use and shared by the scenarios of a feature."""

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
    context.feature_fleet = FeatureFleet()


def after_feature(context, feature):
    context.feature_fleet.close()


def before_scenario(context, scenario):
    context.answers = []
    context.responses = []


def before_all(context):
    logging.getLogger("httpx").setLevel(logging.WARNING)
