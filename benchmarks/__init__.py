"""What the node, the policy and the lab cost, and what their mechanisms gain."""
