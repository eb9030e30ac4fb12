"""Mistakes in how a node uses budgets that nodes lend one another."""

from flintridge.lab.defects.lending import CreditBeforeDebit
from flintridge.lab.defects.wrapping import put
from flintridge.node import Node
from flintridge.policy.balancer import Balancer


def loans_not_taken_off(node: Node) -> None:
    """The node lends and goes on using what it lent."""
    assert node.leases is not None
    for account in node.leases.manager.accounts.values():
        account.allocation = CreditBeforeDebit(account.limit.terms, account.allocation.started_at)


def quota_not_taken(node: Node) -> None:
    """The node looks whether a quota has room, and takes nothing from it."""
    module = node.core.policy_driver.policy
    assert isinstance(module, Balancer)
    quotas = module.quotas
    put(quotas, "try_take", lambda tenant, now: quotas.level(tenant, now) >= 1)
    put(module.retries.budget, "try_take", lambda now: True)  # what is never taken from is never empty
