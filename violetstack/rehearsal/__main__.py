"""`python -m violetstack.rehearsal`: the same as `violetstack rehearse`."""

from violetstack.commands.main import rehearse

if __name__ == "__main__":
    rehearse(prog_name="violetstack.rehearsal")
