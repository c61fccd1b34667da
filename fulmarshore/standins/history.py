"""Checks that a history of changes is linearizable.

Change numbers act as a fetch-and-increment register with one winner each, so they
give the order and no search is needed: each reply must be consistent with that
order, and the order must be consistent with real time.
"""

from __future__ import annotations

from fulmarshore.agreement.state import State
from fulmarshore.core.records import ChangeStatus
from fulmarshore.standins.region import Operation


def check_history(state: State, operations: list[Operation]) -> list[str]:
    """Return the violations in a history; empty if it is linearizable.

    Parameters
    ----------
    state : State
        State of the log after all operations.
    operations : list of Operation
        The operations of all operators.
    """
    problems = _check_numbers(state)
    accepted = {}
    for operation in operations:
        problems += _check_answer(state, operation, operations)
        if _has_status(operation, ChangeStatus.ACCEPTED):
            accepted[operation.change.number] = operation
    problems += _check_real_time(accepted)
    for operation in operations:
        problems += _check_invalid(operation, accepted)
    return problems


def _has_status(operation: Operation, status: ChangeStatus) -> bool:
    return operation.reply is not None and operation.reply.status == status


def _check_numbers(state: State) -> list[str]:
    if sorted(state.decisions) != list(range(1, state.next_number)):
        return [f"numbers are not consecutive: {sorted(state.decisions)}"]
    versions = [state.decisions[number].version for number in sorted(state.decisions)]
    if versions != sorted(set(versions)):
        return [f"versions do not increase: {versions}"]
    return []


def _check_answer(
    state: State, operation: Operation, operations: list[Operation]
) -> list[str]:
    change = operation.change
    decision = state.decisions.get(change.number)
    own = decision is not None and decision.change == change
    if _has_status(operation, ChangeStatus.ACCEPTED):
        if not own or decision.version != operation.reply.version:
            return [f"accepted but not in force: {operation}"]
        return []
    if operation.reply is not None and own:
        return [f"refused but in force: {operation}"]
    if _has_status(operation, ChangeStatus.CONFLICT):
        if decision is None or decision.change.operator != operation.reply.winner:
            return [f"wrong winner: {operation}"]
        begun = [op.invoked for op in operations if op.change == decision.change]
        if not begun or min(begun) > operation.answered:
            return [f"the winner was submitted later: {operation}"]
    return []


def _check_real_time(accepted: dict[int, Operation]) -> list[str]:
    problems = []
    ordered = [accepted[number] for number in sorted(accepted)]
    latest = float("-inf")
    for operation in ordered:
        if operation.answered < latest:
            problems.append(f"answered before an earlier one began: {operation}")
        latest = max(latest, operation.invoked)
    return problems


def _check_invalid(operation: Operation, accepted: dict[int, Operation]) -> list[str]:
    """Check that a number is refused as too high only if its predecessor is free."""
    if not _has_status(operation, ChangeStatus.INVALID):
        return []
    before = accepted.get(operation.change.number - 1)
    if before is not None and before.answered < operation.invoked:
        return [f"refused as invalid although its number was next: {operation}"]
    return []
