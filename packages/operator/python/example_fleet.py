"""Prints an example fleet, which a test compares with the TypeScript library.

To update its golden file:
`python3 example_fleet.py > example_fleet.golden.json`.
"""

import sys

sys.dont_write_bytecode = True

from wisteriadeal import BudgetPreference, ConfigurationBuilder, call, caller, model

fleet = ConfigurationBuilder()
tutor = fleet.model_service(
    "tutor-models", models=[model("tutor-7b", maximum_output_tokens=1024)]
)
registry = fleet.plain_service(
    "registry-app",
    calls=[
        call("issue-certificate", "POST", "/certificates", idempotent=False,
             tokens=5, outcome_path="/outcomes"),
        call("look-up-record", "GET", "/records", idempotent=True, tokens=1),
    ],
)
fleet.endpoint("tutor-1", service=tutor, data_center="kigali-1",
               address="10.0.0.7:8000", slots=8)
fleet.endpoint("registry-1", service=registry, data_center="kigali-2",
               address="10.0.0.8:8000", slots=4, checks_fencing_numbers=True)
fleet.organisation(
    "kigali-bar-school",
    opening_budget_tokens=1_000_000,
    callers=[caller("trainee-app", secret="an example, not a secret")],
    services=[tutor, registry],
    budget_preference=BudgetPreference.AVOID_REFUSALS,
)
fleet.print()
