"""The grammar. `docs/configuration.md` shows this text; a test holds the two together."""

GRAMMAR = r"""
file: item*

?item: include | const | block | setting

include: "include" STRING
const: "const" NAME "=" value
block: NAME [label] "{" item* "}"
setting: NAME "=" value
?label: NAME | STRING

?value: disjunction
?disjunction: conjunction ("or" conjunction)*
?conjunction: negation ("and" negation)*
?negation: "not" negation -> negated
         | relation
?relation: operand
         | operand COMPARISON operand -> comparison
         | operand "in" operand -> membership
?operand: atom
        | atom ".." atom -> range
?atom: NAME -> name
     | CONSTANT -> constant
     | STRING -> string
     | QUANTITY -> quantity
     | "(" value ")" -> group
     | "[" [value ("," value)* [","]] "]" -> list
     | "{" [value ("," value)* [","]] "}" -> set

COMPARISON: "==" | "!=" | "<=" | ">=" | "<" | ">"
NAME: /[A-Za-z_][A-Za-z0-9_-]*(\.[A-Za-z0-9_-]+)*/
CONSTANT: /\$[A-Za-z_][A-Za-z0-9_-]*/
STRING: /"[^"\\\n]*(\\["\\nt][^"\\\n]*)*"/
QUANTITY: /-?[0-9][0-9_]*(\.[0-9]+)?([A-Za-z%\xb5][A-Za-z]*(\/[A-Za-z]+)?|[ \t]+(us|ms|s|min|h|d|B|KB|MB|GB|KiB|MiB|GiB|tok|ktok|Mtok|req\/(s|min|h)|%)(?![A-Za-z0-9_%\/-])(?![ \t]*[={]))?/
COMMENT: /#[^\n]*/
SPACE: /[ \t\r\n]+/

%ignore COMMENT
%ignore SPACE
"""
