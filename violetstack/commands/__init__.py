"""Owns the command line: `violetstack serve|rehearse|demo|config`, on click.

Each command reads its arguments, calls the package that does the work and turns what comes back into text
and an exit status. Nothing here is loaded by the plain `python -m violetstack` of the deploy file.

Exit statuses, for every command: 0 all is well; 1 something was found (warnings, differences, a file that
is not laid out, a story that did not come out); 2 errors in a file or in the arguments.
"""
