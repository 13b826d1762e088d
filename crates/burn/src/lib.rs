//! Service-level burn: objectives, multi-window burn rates and the report.
