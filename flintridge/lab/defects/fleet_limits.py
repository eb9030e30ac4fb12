"""Planted defects in how a node uses fleet-wide limits, whose fractions nodes lease to one another."""

from flintridge.lab.defects.interception import balancer_of, replace_attribute
from flintridge.lab.defects.leases import CreditBeforeDebit
from flintridge.node import Node


def loans_not_taken_off(node: Node) -> None:
    """The node keeps using the amounts that it has leased to others."""
    assert node.leases is not None
    for account in node.leases.manager.accounts.values():
        account.allocation = CreditBeforeDebit(account.limit.terms, account.allocation.started_at)


def quota_not_taken(node: Node) -> None:
    """The node checks whether a quota has tokens, but does not take any."""
    balancer = balancer_of(node)
    quotas = balancer.quotas
    replace_attribute(quotas, "try_take", lambda tenant, now: quotas.level(tenant, now) >= 1)
    replace_attribute(balancer.retries.budget, "try_take", lambda now: True)
