"""Records of requests that must not run twice, and the service that keeps them."""
