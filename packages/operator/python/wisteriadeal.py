"""Builds and prints a wisteriadeal configuration, with the standard library only.

Each call is validated against the committed JSON Schema and the references
between items, so an invalid call raises at its own line in the operator's
program. ``wisteriadeal check`` validates the remaining rules.

    fleet = ConfigurationBuilder()
    tutor = fleet.model_service(
        "tutor-models", models=[model("tutor-7b", maximum_output_tokens=1024)]
    )
    fleet.endpoint("tutor-1", service=tutor, data_center="kigali-1",
                   address="10.0.0.7:8000", slots=8)
    fleet.organisation("kigali-bar-school", opening_budget_tokens=1_000_000,
                       callers=[caller("trainee-app", secret=secret)],
                       services=[tutor])
    fleet.print()
"""

import enum
import hashlib
import json
import pathlib
import secrets
import sys

SCHEMA_FILE = (
    pathlib.Path(__file__).parent.parent
    / "json-schema"
    / "configuration.schema.json"
)
SCHEMA_REVISION = 1
MINIMUM_SECRET_LENGTH = 16
DEFAULT_OUTPUT_TOKENS = 256


class BudgetPreference(enum.Enum):
    """Which effect of a failure an organisation prefers to avoid.

    AVOID_REFUSALS uses larger grants, and a host without a witness continues,
    at the risk of bills that charge the reserved bound without details.
    AVOID_UNCLEAR_BILLS uses smaller grants, and a host without a witness writes
    each reservation to the log first or refuses the request.
    """

    AVOID_REFUSALS = "BUDGET_PREFERENCE_AVOID_REFUSALS"
    AVOID_UNCLEAR_BILLS = "BUDGET_PREFERENCE_AVOID_UNCLEAR_BILLS"


class EndpointState(enum.Enum):
    """Whether an endpoint receives new requests."""

    ACTIVE = "ENDPOINT_STATE_ACTIVE"
    LEAVING = "ENDPOINT_STATE_LEAVING"


class ConfigurationError(ValueError):
    """Raised for invalid input.

    Attributes:
        key: Path of the invalid key, such as ``endpoints[3].slots``.
        expected: What was expected for that key.
    """

    def __init__(self, key, expected):
        super().__init__(f"{key}: expected {expected}")
        self.key = key
        self.expected = expected


def hash_credential(secret):
    """Returns the SHA-256 of a secret, in hexadecimal, as configurations contain it."""
    return hashlib.sha256(secret.encode()).hexdigest()


def mint_credential():
    """Returns a new secret of 192 random bits and its hash for the configuration."""
    secret = secrets.token_urlsafe(24)
    return secret, hash_credential(secret)


def caller(name, secret=None, credential_sha256=None):
    """Describes a caller by its secret or by the secret's SHA-256 in hexadecimal.

    Raises ConfigurationError if the secret has fewer than 16 characters: the
    configuration contains its hash, from which it could be guessed.
    """
    if secret is not None:
        if len(secret) < MINIMUM_SECRET_LENGTH:
            expected = f"at least {MINIMUM_SECRET_LENGTH} characters"
            raise ConfigurationError(f"secret of caller {name}", expected)
        credential_sha256 = hash_credential(secret)
    return {"name": name, "credentialSha256": credential_sha256}


def model(name, maximum_output_tokens, default_output_tokens=None,
          minimum_bytes_per_prompt_token=1):
    """Describes a model of a service.

    The default output limit of a request is 256 tokens, or the model's maximum
    if that is lower. A prompt token covers at least
    ``minimum_bytes_per_prompt_token`` bytes; 1 is always safe.
    """
    if default_output_tokens is None:
        default_output_tokens = min(DEFAULT_OUTPUT_TOKENS, maximum_output_tokens)
    return {
        "name": name,
        "maximumOutputTokens": maximum_output_tokens,
        "defaultOutputTokens": default_output_tokens,
        "minimumBytesPerPromptToken": minimum_bytes_per_prompt_token,
    }


def call(name, method, path, idempotent, tokens, outcome_path=""):
    """Describes one call of a plain service; its price is in tokens.

    ``outcome_path`` returns the outcome of an earlier call, named by the query
    parameter ``requestId``.
    """
    return {
        "name": name,
        "method": method,
        "path": path,
        "idempotent": idempotent,
        "tokens": tokens,
        "outcomePath": outcome_path,
    }


TYPES = {
    "string": str,
    "boolean": bool,
    "integer": int,
    "number": (int, float),
    "array": list,
    "object": dict,
}


def check_value(value, schema, root, key):
    """Validates a value against the subset of JSON Schema that the export uses.

    Raises ConfigurationError with the path of the first invalid value.
    """
    if "$ref" in schema:
        schema = root["$defs"][schema["$ref"].rsplit("/", 1)[1]]
    kind = schema["type"]
    is_right_type = isinstance(value, TYPES[kind])
    if kind != "boolean" and isinstance(value, bool):
        is_right_type = False
    if not is_right_type:
        raise ConfigurationError(key, f"a value of type {kind}")
    if "enum" in schema and value not in schema["enum"]:
        raise ConfigurationError(key, f"one of {', '.join(schema['enum'])}")
    if "minimum" in schema and value < schema["minimum"]:
        raise ConfigurationError(key, f"at least {schema['minimum']}")
    if "maximum" in schema and value > schema["maximum"]:
        raise ConfigurationError(key, f"at most {schema['maximum']}")
    for index, item in enumerate(value if kind == "array" else []):
        check_value(item, schema["items"], root, f"{key}[{index}]")
    for name, item in value.items() if kind == "object" else []:
        if name not in schema["properties"]:
            raise ConfigurationError(f"{key}.{name}", "a key that the schema defines")
        check_value(item, schema["properties"][name], root, f"{key}.{name}")


class ConfigurationBuilder:
    """Builds a configuration and validates each item when it is added."""

    def __init__(self):
        self._schema = json.loads(SCHEMA_FILE.read_text())
        self._configuration = {
            "organisations": [],
            "services": [],
            "endpoints": [],
            "models": [],
            "limits": {
                "maximumBodyBytes": 1_048_576,
                "requestReceiveTimeoutMilliseconds": 10_000,
                "interactiveDeadlineMilliseconds": 10_000,
                "batchDeadlineMilliseconds": 120_000,
                "keptAnswerMilliseconds": 600_000,
            },
            "schemaRevision": SCHEMA_REVISION,
        }

    def limits(self, **limits):
        """Sets limits by their JSON names; the others keep their values."""
        merged = {**self._configuration["limits"], **limits}
        check_value(merged, {"$ref": "#/$defs/Limits"}, self._schema, "limits")
        self._configuration["limits"] = merged

    def model_service(self, name, models):
        """Defines a service of model engines; returns its name."""
        for item in models:
            self._add("models", "Model", item)
        names = [item["name"] for item in models]
        return self._service(name, "SERVICE_KIND_MODEL", models=names, calls=[])

    def plain_service(self, name, calls):
        """Defines a plain service; returns its name."""
        return self._service(name, "SERVICE_KIND_PLAIN", models=[], calls=calls)

    def endpoint(self, name, service, data_center, address, slots,
                 state=EndpointState.ACTIVE, checks_fencing_numbers=False):
        """Defines an endpoint of a service."""
        self._require_service(service)
        self._add("endpoints", "Endpoint", {
            "name": name,
            "service": service,
            "dataCenter": data_center,
            "address": address,
            "state": state.value,
            "slots": slots,
            "checksFencingNumbers": checks_fencing_numbers,
        })

    def organisation(self, name, opening_budget_tokens, callers, services,
                     weight=1,
                     budget_preference=BudgetPreference.AVOID_UNCLEAR_BILLS):
        """Defines an organisation with its budget and callers."""
        for service in services:
            self._require_service(service)
        self._add("organisations", "Organisation", {
            "name": name,
            "callers": callers,
            "services": services,
            "openingBudgetTokens": opening_budget_tokens,
            "weight": weight,
            "budgetPreference": budget_preference.value,
        })

    def print(self, file=sys.stdout):
        """Prints the configuration as JSON; it contains hashes, no secrets."""
        json.dump(self._configuration, file, indent=2)
        file.write("\n")

    def _service(self, name, kind, models, calls):
        self._add("services", "Service", {
            "name": name, "kind": kind, "models": models, "calls": calls,
        })
        return name

    def _add(self, list_name, definition, item):
        items = self._configuration[list_name]
        key = f"{list_name}[{len(items)}]"
        check_value(item, {"$ref": f"#/$defs/{definition}"}, self._schema, key)
        if any(other["name"] == item["name"] for other in items):
            expected = f'a name that is not used yet, not "{item["name"]}"'
            raise ConfigurationError(f"{key}.name", expected)
        items.append(item)

    def _require_service(self, name):
        defined = [service["name"] for service in self._configuration["services"]]
        if name not in defined:
            expected = f"one of {', '.join(defined)}, not {name}"
            raise ConfigurationError("service", expected)
