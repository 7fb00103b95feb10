"""Gives requests that compete for the same searchers their turns."""

from __future__ import annotations

import asyncio
import math
import random

import expression
import logbook

from azureramp import catalog, errors
from azureramp.controllers.forwarding import board as board_module
from azureramp.controllers.forwarding import demands
from azureramp.policy import (
    admission_gate,
    competition,
    congestion,
    fair_queue,
)

WAIT_TARGET_SHARE = 0.15
"""Maximum wait for a turn as a share of the route's target; a caller that is
refused after it still has time to return."""

MIN_RETURN_WAIT_S = admission_gate.MIN_RETURN_MS / 1000
"""Minimum time that a caller has waited if it returns as it was told to, in
seconds; one that repeats its request at once has waited less."""

LEAST_COUNTED_PRIORITY = 2
"""Refusals of this and of less urgent priorities are counted together."""

_logger = logbook.Logger("azureramp.admission")


class Turns:
    """The gates of the sets of searchers for which requests compete."""

    __slots__ = (
        "_board",
        "_configuration",
        "_groups",
        "_limited",
        "_mean_rate_per_s",
        "_rng",
        "_scope",
        "_waiting",
    )

    def __init__(
        self,
        board: board_module.Board,
        rng: random.Random,
        scope: competition.Scope,
    ) -> None:
        """Creates an instance in which nothing waits.

        Args:
            board: The process's state.
            rng: Random source that spreads the times to return.
            scope: Where admission control is on.
        """
        self._scope = scope
        self._board = board
        self._rng = rng
        self._configuration: catalog.Configuration | None = None
        self._groups: dict[competition.Services, str] = {}
        self._limited: set[admission_gate.Gate] = set()
        self._mean_rate_per_s = 0.0
        self._waiting: dict[fair_queue.Ticket, asyncio.Future[None]] = {}

    def is_on(self, demand: demands.Demand) -> bool:
        """Returns True if other requests compete for the same searchers."""
        if self._board.configuration is not self._configuration:
            self._apply_configuration()
        return demand.services in self._groups

    async def take(
        self, demand: demands.Demand
    ) -> expression.Result[admission_gate.Gate, errors.Failure]:
        """Waits until a request may be sent.

        Args:
            demand: The request, for which admission is on.

        Returns:
            The gate that admitted it, for which `end` must be called once it
            has ended; otherwise why it may not be sent.
        """
        now_s = asyncio.get_running_loop().time()
        gate = self._get_gate(demand)
        ticket = self._make_ticket(gate, demand, now_s)
        if ticket.returning:
            self._board.metrics.count("admission.returned")
        decision = gate.arrive(ticket, now_s)
        self._log_change(gate, None)
        if isinstance(decision, admission_gate.Queued):
            turn = asyncio.get_running_loop().create_future()
            self._waiting[ticket] = turn
            try:
                await asyncio.wait({turn}, timeout=decision.patience_s)
            except asyncio.CancelledError:
                if not gate.withdraw(ticket):
                    self.end(gate, now_s, None)
                raise
            finally:
                del self._waiting[ticket]
            if turn.done() or not gate.withdraw(ticket):
                return expression.Ok(gate)
            now_s = asyncio.get_running_loop().time()
            decision = gate.refuse(ticket, now_s)
        if isinstance(decision, admission_gate.Refused):
            over = gate.shares.asks_for_more(demand.account)
            self.count_refusal(
                "admission.refused_over" if over else "admission.refused_turn",
                demand,
            )
            return expression.Error(
                errors.Failure(
                    errors.Kind.OVERLOADED, decision.detail, decision.return_ms
                )
            )
        return expression.Ok(gate)

    def _make_ticket(
        self, gate: admission_gate.Gate, demand: demands.Demand, now_s: float
    ) -> fair_queue.Ticket:
        """Makes a request's ticket for its gate."""
        slack_s = demand.answer_by_s - now_s - gate.get_mean_s()
        patience_s = WAIT_TARGET_SHARE * demand.route.target_latency_s
        return fair_queue.Ticket(
            account=demand.account,
            priority=demand.priority,
            weight=self._get_weight(demand.account),
            returning=demand.waited_s >= MIN_RETURN_WAIT_S,
            patience_s=max(0.0, min(patience_s, slack_s)),
            draw=self._rng.random(),
        )

    def end(
        self,
        gate: admission_gate.Gate,
        admitted_s: float,
        outcome: congestion.Outcome | None,
    ) -> None:
        """Ends an admitted request and lets the next ones run.

        Args:
            gate: The gate that admitted it.
            admitted_s: When it was admitted.
            outcome: What its calls met; None if that shows nothing.
        """
        now_s = asyncio.get_running_loop().time()
        for ticket in gate.end(admitted_s, outcome, now_s):
            turn = self._waiting.get(ticket)
            if turn is not None and not turn.done():
                turn.set_result(None)
        self._log_change(gate, outcome)

    def count_refusal(self, reason: str, demand: demands.Demand) -> None:
        """Counts a refusal by its reason and its priority."""
        counters = self._board.metrics
        counters.count(reason)
        rank = min(max(0, demand.priority), LEAST_COUNTED_PRIORITY)
        counters.count(f"admission.refused_{rank}")

    def _get_gate(self, demand: demands.Demand) -> admission_gate.Gate:
        """Returns the gate of the searchers that a request needs."""
        name = self._groups[demand.services]
        gate = self._board.gates.get(name)
        if gate is None:
            gate = self._board.gates[name] = admission_gate.Gate()
        return gate

    def _log_change(
        self, gate: admission_gate.Gate, outcome: congestion.Outcome | None
    ) -> None:
        """Logs once that a set of searchers is limited now, or no longer."""
        limited = math.isfinite(gate.limit.value)
        if limited == (gate in self._limited):
            return
        name = next(
            (name for name, each in self._board.gates.items() if each is gate),
            "",
        )
        if not name:
            return
        self._limited ^= {gate}
        self._board.metrics.set_gauge("admission.limited", len(self._limited))
        if not limited:
            _logger.info("requests to {} are no longer limited", name)
        else:
            _logger.info(
                "requests to {} are limited to {:.1f} at once; {}",
                name,
                gate.limit.value,
                outcome,
            )

    def _get_weight(self, account: str) -> float:
        """Returns an account's share of the room, relative to others."""
        accounts = self._board.get_accounts()
        declared = accounts.by_name.get(account) if accounts else None
        if declared is None or declared.rate_per_s <= 0:
            return 1.0
        return declared.rate_per_s / self._mean_rate_per_s

    def _apply_configuration(self) -> None:
        """Finds out where requests compete in a new configuration."""
        configuration = self._configuration = self._board.configuration
        self._groups = {}
        if configuration is None:
            return
        accounts = configuration.accounts
        self._groups = competition.find_competing_sets(
            configuration.routes, accounts is not None, self._scope
        )
        names = set(self._groups.values())
        self._board.gates = {
            name: gate
            for name, gate in self._board.gates.items()
            if name in names
        }
        self._limited &= set(self._board.gates.values())
        rates = [
            each.rate_per_s
            for each in (accounts.by_name.values() if accounts else ())
            if each.rate_per_s > 0
        ]
        self._mean_rate_per_s = sum(rates) / max(1, len(rates))
