"""Client of the table service and the configuration stored in it."""
