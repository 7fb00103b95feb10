"""Dry run: validates changes without making them."""

from __future__ import annotations

from collections.abc import Sequence

from azureramp import errors, resources, responses
from azureramp.controllers import http_responses, resource_answers
from azureramp.policy import rules, validation


def check(
    configuration: resources.Configuration,
    items: Sequence[resource_answers.CheckItem],
) -> resource_answers.CheckAnswer:
    """Checks resources as if they were written one after another.

    Args:
        configuration: The configuration in force; it is not changed.
        items: The resources, in the order in which they would be written.
    """
    scratch = resources.Configuration()
    scratch.revision = configuration.revision
    scratch.entries = dict(configuration.entries)
    results = tuple(_check_one(scratch, item) for item in items)
    return resource_answers.CheckAnswer(
        revision=configuration.revision, results=results
    )


def _check_one(
    scratch: resources.Configuration, item: resource_answers.CheckItem
) -> resource_answers.CheckResult:
    """Checks one resource; adds it to the scratch copy if it is valid."""
    resource = item.resource
    kind = resources.get_kind(resource)
    before = scratch.entries.get((kind, resource.name))
    if before is not None and before.resource is None:
        before = None
    entry = resources.Versioned(resource, kind, resource.name, 0)
    error: responses.ErrorAnswer | None = None
    problems = validation.check_resource(resource, scratch)
    revision = before.revision if before else 0
    if problems:
        error = http_responses.make_error_body(
            make_failure(problems), problems=problems
        )
    elif item.expected is not None and item.expected != revision:
        error = http_responses.make_error_body(
            errors.Failure(errors.Kind.CONFLICT), current=before
        )
    else:
        scratch.entries[(kind, resource.name)] = entry
    return resource_answers.CheckResult(entry=entry, before=before, error=error)


def make_failure(problems: Sequence[rules.Problem]) -> errors.Failure:
    """Makes the failure for an invalid resource, with all its problems."""
    detail = "; ".join(
        f"{problem.field}: {problem.rule.value} {problem.value}".rstrip()
        for problem in problems
    )
    return errors.Failure(errors.Kind.INVALID_RESOURCE, detail)
