//! `If-Match` and `If-None-Match` (RFC 9110, section 13).

use poem::http::{HeaderMap, HeaderName, header};

/// What must hold of a resource before it is changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precondition {
    /// Nothing.
    None,
    /// Its declaration is at this revision.
    AtRevision(u64),
    /// It is declared.
    Declared,
    /// It is not declared.
    Absent,
}

/// Why the headers cannot be read, for people.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Malformed(pub(super) &'static str);

impl Precondition {
    /// Reads the headers of a request.
    pub(super) fn from_headers(headers: &HeaderMap) -> Result<Self, Malformed> {
        let matched = text(headers, header::IF_MATCH)?;
        let none_matched = text(headers, header::IF_NONE_MATCH)?;
        match (matched, none_matched) {
            (None, None) => Ok(Self::None),
            (Some("*"), None) => Ok(Self::Declared),
            (Some(tag), None) => revision(tag)
                .map(Self::AtRevision)
                .ok_or(Malformed("if-match must be \"REVISION\" or *")),
            (None, Some("*")) => Ok(Self::Absent),
            (None, Some(_)) => Err(Malformed("if-none-match must be *")),
            (Some(_), Some(_)) => Err(Malformed("if-match and if-none-match exclude each other")),
        }
    }

    /// Whether it holds of a resource at `revision`; 0 where it is absent.
    pub(super) fn holds(self, revision: u64) -> bool {
        match self {
            Self::None => true,
            Self::AtRevision(expected) => revision == expected && revision > 0,
            Self::Declared => revision > 0,
            Self::Absent => revision == 0,
        }
    }
}

fn text(headers: &HeaderMap, name: HeaderName) -> Result<Option<&str>, Malformed> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .map(|text| Some(text.trim()))
        .map_err(|_| Malformed("a precondition has characters other than visible ASCII"))
}

fn revision(tag: &str) -> Option<u64> {
    tag.strip_prefix('"')?.strip_suffix('"')?.parse().ok()
}
