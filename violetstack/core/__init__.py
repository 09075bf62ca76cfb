"""The state of open requests, their attempts and their final responses.

The core sits between the policy, which makes decisions, and the driver, which sends requests to hosts. It
reads no clock and no socket: each call passes the time in milliseconds of one monotonic clock, and output
goes through the driver and the sink of the front.
"""
