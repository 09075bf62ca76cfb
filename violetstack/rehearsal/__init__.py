"""Scripted peers for tests and rehearsals: each test plays a few requests against them, without load."""
