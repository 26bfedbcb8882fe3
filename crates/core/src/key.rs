//! Idempotency keys that carry their issue time.
//!
//! A key names a job for as long as it can be submitted again. Three forms are
//! accepted, each with a time of issue that stays the same on resubmission:
//!
//! * a UUID of version 7 (RFC 9562), made by the caller;
//! * a UUID of version 8, minted by an instance: the layout of version 7, with
//!   a tag of the issuing failure domain in the twelve bits after the version;
//! * `MILLISECONDS-TEXT`, Unix time in decimal and a text of the caller's own.
//!
//! The issue time decides which view owns the key (see [`crate::view`]), so two
//! owners never disagree about it, whatever their clocks say. Opaque keys are
//! refused: after an owner is lost, nothing could tell whether such a key had
//! been seen.

use derive_more::{Display, Error};
use uuid::{Builder, Uuid};
use xxhash_rust::xxh3::xxh3_64;

/// Longest key, in bytes.
pub const KEY_BYTES_MAX: usize = 200;
/// Digits of Unix time in milliseconds, from 2001 to 2286.
const TIMESTAMP_DIGITS: usize = 13;
const DOMAIN_TAG_MASK: u16 = 0x0fff;

/// A checked idempotency key.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display("{text}")]
pub struct JobKey {
    text: String,
    issued_ms: u64,
    domain_tag: Option<u16>,
}

/// Why a text is no idempotency key.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyError {
    /// No key was given.
    #[display("the idempotency key is empty")]
    Empty,
    /// The key exceeds [`KEY_BYTES_MAX`].
    #[display("the idempotency key is longer than {KEY_BYTES_MAX} bytes")]
    TooLong,
    /// The key has characters other than visible ASCII.
    #[display("the idempotency key has characters other than visible ASCII")]
    NotAscii,
    /// The key carries no issue time.
    #[display("the idempotency key is neither a UUID of version 7 or 8 nor MILLISECONDS-TEXT")]
    NoIssueTime,
}

impl JobKey {
    /// Reads a key as a caller sent it.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > KEY_BYTES_MAX {
            return Err(KeyError::TooLong);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(KeyError::NotAscii);
        }
        Self::parse_uuid(text)
            .or_else(|| Self::parse_timestamped(text))
            .ok_or(KeyError::NoIssueTime)
    }

    fn parse_uuid(text: &str) -> Option<Self> {
        let uuid = Uuid::try_parse(text).ok()?;
        let bits = uuid.as_u128();
        let issued_ms = u64::try_from(bits >> 80).ok()?;
        let domain_tag = match uuid.get_version_num() {
            7 => None,
            8 => Some(((bits >> 64) as u16) & DOMAIN_TAG_MASK),
            _ => return None,
        };
        Some(Self {
            text: uuid.to_string(),
            issued_ms,
            domain_tag,
        })
    }

    fn parse_timestamped(text: &str) -> Option<Self> {
        let (digits, rest) = text.split_once('-')?;
        if digits.len() != TIMESTAMP_DIGITS || rest.is_empty() {
            return None;
        }
        let issued_ms = digits.parse().ok()?;
        Some(Self {
            text: text.to_owned(),
            issued_ms,
            domain_tag: None,
        })
    }

    /// Mints a key homed in `domain`; `random` must differ on every call.
    pub fn mint(domain: &str, issued_ms: u64, random: u64) -> Self {
        let tag = domain_tag(domain);
        let mut bytes = [0; 16];
        bytes[..6].copy_from_slice(&issued_ms.to_be_bytes()[2..]);
        bytes[6..8].copy_from_slice(&tag.to_be_bytes());
        bytes[8..].copy_from_slice(&random.to_be_bytes());
        let uuid = Builder::from_custom_bytes(bytes).into_uuid();
        Self {
            text: uuid.to_string(),
            issued_ms,
            domain_tag: Some(tag),
        }
    }

    /// The key's canonical text.
    pub fn as_str(&self) -> &str {
        &self.text
    }

    /// Unix time of issue, in milliseconds.
    pub fn issued_ms(&self) -> u64 {
        self.issued_ms
    }

    /// A stable hash of the key, for shards and owners.
    pub fn hash(&self) -> u64 {
        xxh3_64(self.text.as_bytes())
    }

    /// The failure domain, of `domains`, whose instances own this key.
    ///
    /// A minted key names its own; others are spread over `domains` by hash.
    /// `None` where a minted key names a failure domain that is not listed.
    pub fn home_domain<'a>(&self, domains: &'a [String]) -> Option<&'a str> {
        match self.domain_tag {
            Some(tag) => domains.iter().find(|domain| domain_tag(domain) == tag),
            None => domains
                .iter()
                .max_by_key(|domain| rendezvous_weight(self.hash(), domain)),
        }
        .map(String::as_str)
    }
}

/// Twelve bits that stand for a failure domain in minted keys.
pub fn domain_tag(domain: &str) -> u16 {
    (xxh3_64(domain.as_bytes()) as u16) & DOMAIN_TAG_MASK
}

/// Weight of `name` for a key's hash: highest random weight (Thaler and
/// Ravishankar, 1998), so that a change of members moves only the keys it must.
pub fn rendezvous_weight(key_hash: u64, name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), key_hash)
}
