//! `If-Match` and `If-None-Match` (RFC 9110, section 13).

use poem::http::{HeaderMap, HeaderName, header};

/// State in which a resource must be for a write to proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precondition {
    /// Any state.
    None,
    /// Declared, at this store revision.
    AtRevision(u64),
    /// Declared, at any revision.
    Declared,
    /// Not declared.
    Absent,
}

/// Why the precondition headers are invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PreconditionError(pub(super) &'static str);

impl Precondition {
    /// Parses the headers of a request.
    pub(super) fn from_headers(headers: &HeaderMap) -> Result<Self, PreconditionError> {
        let matched = header_text(headers, header::IF_MATCH)?;
        let none_matched = header_text(headers, header::IF_NONE_MATCH)?;
        match (matched, none_matched) {
            (None, None) => Ok(Self::None),
            (Some("*"), None) => Ok(Self::Declared),
            (Some(tag), None) => parse_etag(tag)
                .map(Self::AtRevision)
                .ok_or(PreconditionError("if-match must be \"REVISION\" or *")),
            (None, Some("*")) => Ok(Self::Absent),
            (None, Some(_)) => Err(PreconditionError("if-none-match must be *")),
            (Some(_), Some(_)) => Err(PreconditionError(
                "if-match and if-none-match are mutually exclusive",
            )),
        }
    }

    /// Whether a resource at `revision` (0 if not declared) satisfies it.
    pub(super) fn holds(self, revision: u64) -> bool {
        match self {
            Self::None => true,
            Self::AtRevision(expected) => revision == expected && revision > 0,
            Self::Declared => revision > 0,
            Self::Absent => revision == 0,
        }
    }
}

fn header_text(headers: &HeaderMap, name: HeaderName) -> Result<Option<&str>, PreconditionError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(|text| Some(text.trim()))
        .map_err(|_| PreconditionError("a precondition has characters other than visible ASCII"))
}

fn parse_etag(tag: &str) -> Option<u64> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}
