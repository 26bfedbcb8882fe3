//! Calls to backend servers over bounded connections.
