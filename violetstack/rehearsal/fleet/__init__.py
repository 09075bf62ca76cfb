"""Fleets of real dispatcher processes on loopback, and the faults that befall them.

A fleet run plays a plan: `plan` reads it, `runner` starts what it needs, `fault_injection` carries out its
troubles, `load_clients` ask, `audit` judges and `report` shows the result.

The fault campaign plays cases that are drawn from seeds: `campaign_settings` and `campaign_faults` draw them,
`campaign` starts what they need, `socket_audit` judges what the sockets showed, `campaign_result` reports it.
"""
