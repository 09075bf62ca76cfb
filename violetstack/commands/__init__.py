"""The command line `violetstack serve|rehearse|demo|config|fleet|level|state`, built with click.

Each command parses its arguments, calls the package that does the work, and converts the result to text and
an exit status. The plain `python -m violetstack` of the deploy file loads nothing of this package.

Exit statuses of every command: 0 success; 1 a finding (warnings, differences, a file that is not formatted,
a scenario whose checks failed); 2 errors in a file or in the arguments.
"""
