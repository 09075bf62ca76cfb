"""Scripted peers for tests and rehearsals: they act out stories, one request at a time, without load."""
