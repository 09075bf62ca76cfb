"""What dispatchers of one tier tell each other about the model hosts.

Owns the datagrams' form and what was heard: how much each other dispatcher has out at each host, which
hosts failed them, and for how long such words count. It does no I/O and takes the clock as an argument;
net/peers.py carries the datagrams, and the decision module alone says what follows from them.
"""
