"""Links between the nodes of papayarelay."""
