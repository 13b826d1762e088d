//! Stand-in targets with scripted faults, for tests and the demo.
