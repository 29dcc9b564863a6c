"""Client of the platform's list of VMs."""
