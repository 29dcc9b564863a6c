"""HTTP front end: reads, admits and answers the requests of callers."""
