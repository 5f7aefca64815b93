"""State machines of the coordination between VMs."""
