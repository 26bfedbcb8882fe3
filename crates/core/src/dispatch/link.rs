//! Links between instances, as the dispatch logic knows them.
//!
//! Two instances have a link for each connection between them: one as a rule, two if
//! both dialed at once, and for a moment more while a link is replaced. Each side
//! notices the end of a link on its own. What one side tells the other over a link and
//! both rely on until its end, such as a delegation, therefore belongs to that link on
//! both sides, and never to the peer.

/// Identifies a link within the process; never reused.
pub type LinkId = u64;
