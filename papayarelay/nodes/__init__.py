"""Communication between gateway nodes: gossip, peer links and membership."""
