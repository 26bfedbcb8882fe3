//! Links between instances over nng.
