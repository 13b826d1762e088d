//! A small fleet in one process: both first deployments, load, faults and a summary.
