"""A station of searchers with a short queue, and callers at several VMs."""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from azureramp.policy import admission_gate, congestion, fair_queue

USUAL_S = 0.01


@dataclasses.dataclass(slots=True)
class Load:
    """What one account asks for, as Poisson arrivals."""

    account: str
    per_s: float
    factor: float = 1.0
    priority: int = 0
    target_s: float = 0.12
    deadline_s: float = 0.6
    repeats_at_once: int = 0


@dataclasses.dataclass(slots=True)
class Request:
    """One request, with all its tries."""

    load: Load
    began_s: float
    gate: admission_gate.Gate
    ticket: fair_queue.Ticket | None = None
    tries: int = 0
    sent_s: float = 0.0


class Model:
    """Plays loads for a while and counts who is served in target."""

    def __init__(self, slots: int, vms: int = 3, gated: bool = True) -> None:
        self.gates = [admission_gate.Gate() for _ in range(vms)]
        self.slots, self.gated = slots, gated
        self.rng = random.Random(7)
        self.asked: collections.Counter[str] = collections.Counter()
        self.served: collections.Counter[str] = collections.Counter()
        self.returned = self.wasted = self.busy = 0
        self.waiting: collections.deque[Request] = collections.deque()
        self.now_s = 0.0
        self.by_ticket: dict[fair_queue.Ticket, Request] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = itertools.count()

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        event = (self.now_s + delay_s, next(self._count), act)
        heapq.heappush(self._events, event)

    def play(self, loads: Sequence[Load], for_s: float = 6.0) -> None:
        for load in loads:
            per_s = load.per_s * load.factor
            at_s = 0.0
            while (at_s := at_s + self.rng.expovariate(per_s)) < for_s:
                request = Request(load, at_s, self.gates[0])
                self.after(at_s, functools.partial(self.ask, request))
        while self._events:
            self.now_s, _, act = heapq.heappop(self._events)
            act()
        assert not any(each.running or each.queue for each in self.gates)

    def get_share(self, *accounts: str) -> float:
        served = sum(self.served[each] for each in accounts)
        return served / max(1, sum(self.asked[each] for each in accounts))

    def ask(self, request: Request) -> None:
        load = request.load
        request.gate = self.rng.choice(self.gates)
        self.asked[load.account] += not request.tries
        request.tries += 1
        waited_s = self.now_s - request.began_s
        patience_s = min(0.15 * load.target_s, load.deadline_s - waited_s)
        ticket = request.ticket = fair_queue.Ticket(
            load.account,
            load.priority,
            1.0,
            waited_s >= 0.02,
            patience_s,
            self.rng.random(),
        )
        if not self.gated:
            self.send(request)
            return
        match request.gate.arrive(ticket, self.now_s):
            case admission_gate.Admitted():
                self.send(request)
            case admission_gate.Queued(patience_s=patience_s):
                self.by_ticket[ticket] = request
                self.after(patience_s, lambda: self.give_up(request, ticket))
            case admission_gate.Refused(return_ms=return_ms):
                self.return_later(request, return_ms / 1000)

    def give_up(self, request: Request, ticket: fair_queue.Ticket) -> None:
        if request.gate.withdraw(ticket):
            refused = request.gate.refuse(ticket, self.now_s)
            self.return_later(request, refused.return_ms / 1000)

    def return_later(self, request: Request, delay_s: float) -> None:
        load = request.load
        left_s = load.deadline_s - (self.now_s - request.began_s)
        if request.tries <= load.repeats_at_once:
            self.after(0.002, lambda: self.ask(request))
        elif request.tries <= 1 and delay_s <= left_s / 3:
            self.after(delay_s, lambda: self.ask(request))

    def send(self, request: Request) -> None:
        request.sent_s = self.now_s
        if self.busy < self.slots:
            self.run(request)
        elif len(self.waiting) < 6 * self.slots:
            self.waiting.append(request)
        else:
            self.end(request, full=True)
            self.return_later(request, 0.1)

    def run(self, request: Request) -> None:
        self.busy += 1
        work_s = USUAL_S * self.rng.uniform(0.6, 1.4)
        self.after(work_s, lambda: self.finish(request))

    def finish(self, request: Request) -> None:
        self.busy -= 1
        if self.waiting:
            self.run(self.waiting.popleft())
        load = request.load
        in_target = self.now_s - request.began_s <= load.target_s
        self.served[load.account] += in_target
        self.returned += in_target and request.tries > 1
        self.wasted += not in_target
        self.end(request, full=False)

    def end(self, request: Request, full: bool) -> None:
        if not self.gated:
            return
        took_s = self.now_s - request.sent_s
        slow = congestion.is_slow(took_s, USUAL_S, request.load.target_s)
        queued = congestion.is_queued(len(self.waiting), self.slots)
        met = congestion.Outcome(1, 1, int(full), int(queued), int(slow))
        for ticket in request.gate.end(request.sent_s, met, self.now_s):
            self.send(self.by_ticket.pop(ticket))
