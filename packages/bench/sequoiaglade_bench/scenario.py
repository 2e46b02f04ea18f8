"""Load scenarios, written in YAML and validated before a run."""

from pydantic import BaseModel, ConfigDict, Field

from sequoiaglade_decisions.documents import check_document


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


class Burst(_StrictModel):
    """A period with `factor` times the usual rate; starts at second `at`."""

    at: float = Field(ge=0)
    seconds: float = Field(gt=0)
    factor: float = Field(gt=0, le=100)


class WorkspacePlan(_StrictModel):
    """Online traffic of a workspace: requests per second with bursts.

    `node_weights` distribute it over the nodes, in their order. The requests cycle
    through `prompts` different beginnings of the prompt. `is_inside_rate` states that
    the traffic conforms to the workspace's limit, so that every refusal by the limit is
    an error.
    """

    rate: float = Field(gt=0, le=100_000)
    tokens: int = Field(default=16, ge=1, le=100_000)
    bursts: tuple[Burst, ...] = ()
    prompts: int = Field(default=1, ge=1, le=1_000_000)
    node_weights: tuple[float, ...] | None = None
    is_inside_rate: bool = True

    def rate_at(self, at):
        """Return the rate `at` seconds after the start."""
        factors = [b.factor for b in self.bursts if b.at <= at < b.at + b.seconds]
        return self.rate * max(factors, default=1.0)


class JobPlan(_StrictModel):
    """A batch job that is submitted at the start of the run."""

    workspace: str
    items: int = Field(ge=1, le=130_000)
    tokens: int = Field(default=8, ge=1, le=100_000)


class FaultPlan(_StrictModel):
    """Faults to set at a time on the platform, or on the endpoint with an index."""

    at: float = Field(ge=0)
    endpoint: int | None = Field(default=None, ge=0)
    values: dict


class Scenario(_StrictModel):
    """A complete scenario; `max_requests` and `seconds` bound its run."""

    name: str
    model: str
    seconds: float = Field(gt=0, le=3600)
    seed: int = 1
    threads: int = Field(default=512, ge=1, le=4096)
    max_requests: int = Field(default=100_000, ge=1, le=10_000_000)
    workspaces: dict[str, WorkspacePlan] = Field(min_length=1)
    jobs: tuple[JobPlan, ...] = ()
    faults: tuple[FaultPlan, ...] = ()


def read_scenario(text):
    """Return the `Scenario` of a YAML text, or a list of its validation errors.

    >>> read_scenario("name: x")[0].path
    'model'
    """
    return check_document(text, Scenario)
