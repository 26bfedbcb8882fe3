//! Log lines by slog.
