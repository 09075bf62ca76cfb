"""violetstack: a dispatcher for two-stage language-model serving."""
