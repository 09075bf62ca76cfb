"""Runs the policy against the operators' simulator: JSON lines on standard input and output.

Each line of input is a batch of events for any number of dispatcher instances; the reply is one line with
their actions. This package only translates; the policy makes all decisions. Run it with
`python -m violetstack.simulator_adapter`.
"""
