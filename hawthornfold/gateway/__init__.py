"""The HTTP path of requests that are passed through or gathered."""
