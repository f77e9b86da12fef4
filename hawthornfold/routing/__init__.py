"""Owners of backend servers, replica ranking and fan-out plans."""
