"""Owns the operator's file: its grammar, what it may say, what it means, and how it is written.

`read` follows the includes, `check` turns what they say into a `Meaning` or into problems with their
places and likely fixes, `layout` writes a file in the one canonical form, `difference` tells what two
meanings differ in. Parsing stands on lark; the daemon loads this package only where it is given a file.
"""
