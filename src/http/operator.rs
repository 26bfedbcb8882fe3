//! The operators' resource API.
