"""Fleets of real dispatcher processes on loopback, and the faults that are injected.

A fleet run plays a plan: `plan` reads it, `runner` starts processes and simulated peers, `fault_injection`
injects its faults, `load_clients` sends requests, `audit` checks the rules and `report` formats the result.

The fault campaign plays cases that are drawn from seeds: `campaign_settings` and `campaign_faults` draw them,
`campaign` starts what they need, `socket_audit` judges what the sockets showed, `campaign_result` reports it.
"""
