"""The grants of many gateways from one store, at virtual time."""
