"""Random schedules of the rate model's steps."""

import random
from collections.abc import Callable

from .rate_model import RateModel

__all__ = ["run_schedule"]

_STEPS: dict[Callable[[RateModel], None], float] = {
    RateModel.do_charge: 3,
    RateModel.do_burst: 1,
    RateModel.do_finish: 4,
    RateModel.do_work: 2,
    RateModel.do_deliver: 2,
    RateModel.do_lose: 1,
    RateModel.do_duplicate: 1,
    RateModel.do_commit: 1,
    RateModel.do_begin_barrier: 0.5,
    RateModel.do_end_barrier: 0.5,
    RateModel.do_cut: 0.4,
    RateModel.do_rest: 0.2,
    RateModel.do_strand: 0.2,
    RateModel.do_usurp: 0.2,
    RateModel.do_crash_entry: 0.05,
    RateModel.do_elect: 0.2,
    RateModel.do_restart_owner: 0.05,
    RateModel.do_change_limits: 0.05,
}
_WAITS_S = (0.001, 0.01, 0.05, 0.2, 1.0, 2.5, 3.5)


def run_schedule(seed: int, steps: int) -> RateModel:
    """Run a random schedule and return the model for inspection."""
    source = random.Random(seed)
    model = RateModel(source)
    model.health = source.choice((0.5, 0.9, 0.99))
    choices, weights = list(_STEPS), list(_STEPS.values())
    for _ in range(steps):
        if source.random() < 0.2:
            model.do_wait(source.choice(_WAITS_S))
        else:
            source.choices(choices, weights)[0](model)
    return model
