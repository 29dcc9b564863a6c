"""Detection of requests that crash engines, by what all nodes together have seen."""
