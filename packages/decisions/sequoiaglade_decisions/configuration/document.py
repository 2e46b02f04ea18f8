"""Models of the operators' document and the checks across its sections."""

from enum import Enum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, model_validator

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
Digest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]


class _Section(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Tier(Enum):
    """Tier of a workspace: a paying customer or a trial."""

    PAYING = "paying"
    TRIAL = "trial"


class Workspace(_Section):
    """A customer; `weight` is its share among workspaces of the same tier."""

    tier: Tier
    weight: float = Field(default=1.0, gt=0, le=1000)


class Key(_Section):
    """An API key of a workspace, stored as the SHA-256 digest of its text."""

    workspace: Name
    digest: Digest


class Rate(_Section):
    """Fleet-wide rate limit of a workspace: requests per second, and burst."""

    rate: float = Field(gt=0, le=1_000_000)
    burst: int = Field(ge=1, le=1_000_000)


class Model(_Section):
    """A model served by endpoints, under the name that callers use."""

    description: str = ""


class Endpoint(_Section):
    """A back end: a model engine or a plain service.

    `slots` is the number of requests that it runs concurrently. `checks_fencing`
    states that it rejects orders with an outdated fencing token.
    """

    url: str = Field(pattern=r"^https?://[^/\s]+$")
    failure_domain: Name
    model: Name | None = None
    service: Name | None = None
    slots: int = Field(default=8, ge=1, le=100_000)
    resumes: bool = False
    checks_fencing: bool = False
    leaving: bool = False

    @model_validator(mode="after")
    def _check_target(self):
        if (self.model is None) == (self.service is None):
            raise ValueError("exactly one of model and service is required")
        return self


class Service(_Section):
    """A plain service that is not a model engine."""

    description: str = ""


class Route(_Section):
    """Makes a model, or a path prefix of a service, available to workspaces.

    `repeatable` states that calls may be repeated, `open_to_all` that no key is
    required. Without `workspaces` the route is available to all workspaces.
    """

    model: Name | None = None
    service: Name | None = None
    path_prefix: str | None = Field(default=None, pattern=r"^/[^\s?#]*$")
    workspaces: tuple[Name, ...] | None = None
    repeatable: bool = True
    open_to_all: bool = False

    @model_validator(mode="after")
    def _check_target(self):
        if (self.model is None) == (self.service is None):
            raise ValueError("exactly one of model and service is required")
        if (self.service is None) != (self.path_prefix is None):
            raise ValueError("path_prefix is required with a service, and only then")
        return self


class Team(_Section):
    """A team of operators: the digest of its token, and the sections it owns."""

    token_digest: Digest
    sections: tuple[str, ...]


class Document(_Section):
    """The complete document; each section is a mapping by name."""

    workspaces: dict[Name, Workspace] = {}
    keys: dict[Name, Key] = {}
    rates: dict[Name, Rate] = {}
    models: dict[str, Model] = {}
    endpoints: dict[Name, Endpoint] = {}
    services: dict[Name, Service] = {}
    routes: dict[Name, Route] = {}
    teams: dict[Name, Team] = {}

    def cross_faults(self):
        """Return invalid references between sections as (location, reason) pairs.

        >>> Document(rates={"yard-a": Rate(rate=1, burst=1)}).cross_faults()
        [(('rates', 'yard-a'), 'no workspace yard-a')]
        """
        return [*self._workspace_faults(), *self._target_faults()]

    def _workspace_faults(self):
        for name in self.rates:
            if name not in self.workspaces:
                yield ("rates", name), f"no workspace {name}"
        yield from self._key_faults()
        for name, key in self.keys.items():
            if key.workspace not in self.workspaces:
                yield ("keys", name, "workspace"), f"no workspace {key.workspace}"
        for name, route in self.routes.items():
            for workspace in route.workspaces or ():
                if workspace not in self.workspaces:
                    yield ("routes", name, "workspaces"), f"no workspace {workspace}"

    def _key_faults(self):
        name_by_digest = {}
        for name, key in self.keys.items():
            first = name_by_digest.setdefault(key.digest, name)
            if first != name:
                yield ("keys", name, "digest"), f"the same key as {first}"

    def _target_faults(self):
        for section in ("endpoints", "routes"):
            for name, item in getattr(self, section).items():
                if item.model is not None and item.model not in self.models:
                    yield (section, name, "model"), f"no model {item.model}"
                if item.service is not None and item.service not in self.services:
                    yield (section, name, "service"), f"no service {item.service}"
        for name, team in self.teams.items():
            for section in team.sections:
                if section not in SECTION_NAMES:
                    yield ("teams", name, "sections"), f"no section {section}"


SECTION_NAMES = tuple(Document.model_fields)
