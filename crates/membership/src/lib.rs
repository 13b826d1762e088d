//! Directory of the fleet's members, kept by gossip with probing and suspicion.
