"""Runs the policy against the operators' simulator: JSON lines on standard input and output.

Each line of input is a batch of events for any number of dispatcher instances, and is answered by one line
with their actions. This package translates and decides nothing. Run it with
`python -m violetstack.simulator_adapter`.
"""
