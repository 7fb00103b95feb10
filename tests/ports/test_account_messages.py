"""Messages between VMs about the limits of client accounts."""

from __future__ import annotations

import contextlib

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st

from azureramp.controllers.forwarding import account_encoding
from azureramp.policy import account_buckets
from azureramp.ports.vms import account_messages as messages


@hypothesis.given(st.binary(max_size=60))
def test_malformed_messages_are_decode_errors(data: bytes) -> None:
    """Guards against a message that ends the loop which reads it."""
    for decode in (
        messages.decode_report,
        messages.decode_release,
        messages.decode_release_answer,
        messages.decode_list_answer,
    ):
        with contextlib.suppress(msgspec.DecodeError):
            decode(data)
    account_encoding.decode_decisions(data, 1)


@pytest.mark.parametrize("state", account_buckets.State)
def test_decisions_keep_their_meaning(state: account_buckets.State) -> None:
    decision = account_buckets.Decision(state, 7, 0.25, 1.5, 0.125, "vm-1")
    answer = messages.ReportAnswer(
        (account_encoding.encode_decision(decision),)
    )
    body = messages.encode(answer)
    assert account_encoding.decode_decisions(body, 1).ok == [decision]
    assert account_encoding.decode_decisions(body, 2).is_error()
