"""The state of open requests, their attempts and their final responses.

The core sits between the policy, which decides, and the driver, which writes to hosts. It reads no clock and
no socket: the time comes in with each call as milliseconds of one monotonic clock, and bytes go out through
the driver and the front's sink.
"""
