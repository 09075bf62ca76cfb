"""Owns a fleet of real dispatcher processes on loopback, and the troubles that befall them.

`plan` reads what is to happen, `audit` judges what the sockets showed and says when service was whole again
(both without I/O); `hosts` are model hosts of bounded room, `ground` starts processes, agents, relay and
clients.
"""
