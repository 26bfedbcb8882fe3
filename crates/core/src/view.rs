//! Views, which determine the owner of each key.
//!
//! The view log of a failure domain, kept in the platform's store, is a list of views,
//! each with its members and the first key time that it covers. A key belongs to the
//! newest view whose `from_ms` is not after the key's issue time, and is owned by the
//! member of that view that rendezvous hashing selects. Only that member, in that
//! incarnation, ever starts the key's tasks.
//!
//! Old and new owners compare the issue time in the key with the same stored `from_ms`,
//! so clock differences and pauses cannot make two owners start the same key.
//!
//! The log is changed only by compare-and-swap. Before a view is written, the members
//! of the previous one must be unable to admit keys issued at its `from_ms` or later.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use trefoil_schema::peer;

use crate::key::{JobKey, rendezvous_weight};

/// An incarnation of an instance.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{name}#{incarnation}")]
pub struct Member {
    /// Configured name of the instance.
    pub name: String,
    /// Incarnation number; increases with each restart.
    pub incarnation: u64,
}

/// The members that own the keys issued from a time on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Sequence number in the failure domain, starting at 1.
    pub version: u64,
    /// Earliest issue time of the keys that it covers, in Unix milliseconds.
    pub from_ms: u64,
    /// The members, with distinct names.
    pub members: Vec<Member>,
}

/// The views of a failure domain, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewLog {
    views: Vec<View>,
}

impl ViewLog {
    /// Creates a log of `views`, oldest first. See [`Self::check`] for the rules.
    pub fn new(views: Vec<View>) -> Self {
        Self { views }
    }

    /// The views that the log still has, oldest first.
    pub fn views(&self) -> &[View] {
        &self.views
    }

    /// The newest view.
    pub fn newest(&self) -> Option<&View> {
        self.views.last()
    }

    /// The view that covers keys issued at a time.
    pub fn covering(&self, issued_ms: u64) -> Option<&View> {
        self.views
            .iter()
            .rev()
            .find(|view| view.from_ms <= issued_ms)
    }

    /// The only member that may start the key's tasks.
    pub fn owner(&self, key: &JobKey) -> Option<&Member> {
        self.covering(key.issued_ms())?.owner(key)
    }
}

/// The instance that answers for a key whose owner is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Succession {
    /// The key's owner and the later holders of its memory, all of them gone.
    pub path: Vec<Member>,
    /// The current holder, which answers for the key but never starts it.
    pub holder: Member,
    /// Whether a stored view has removed each instance of the path.
    pub stored: bool,
}

/// An invalid view log.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ViewError {
    /// A view has no members.
    #[display("a view has no members")]
    NoMembers,
    /// Two members of a view share a name.
    #[display("a view lists one name twice")]
    RepeatedName,
    /// Versions are not consecutive, or `from_ms` decreases.
    #[display("views are out of order")]
    OutOfOrder,
}

impl Member {
    #[expect(missing_docs, reason = "a plain constructor")]
    pub fn new(name: &str, incarnation: u64) -> Self {
        Self {
            name: name.to_owned(),
            incarnation,
        }
    }
}

impl From<&peer::InstanceRef> for Member {
    fn from(instance: &peer::InstanceRef) -> Self {
        Self::new(&instance.name, instance.incarnation)
    }
}

impl From<&Member> for peer::InstanceRef {
    fn from(member: &Member) -> Self {
        Self {
            name: member.name.clone(),
            incarnation: member.incarnation,
        }
    }
}

impl From<&View> for peer::View {
    fn from(view: &View) -> Self {
        Self {
            version: view.version,
            from_ms: view.from_ms,
            members: view.members.iter().map(Into::into).collect(),
        }
    }
}

impl From<&peer::View> for View {
    fn from(view: &peer::View) -> Self {
        Self {
            version: view.version,
            from_ms: view.from_ms,
            members: view.members.iter().map(Into::into).collect(),
        }
    }
}

impl ViewLog {
    /// Version of the newest view, or 0 if there is none.
    pub fn version(&self) -> u64 {
        self.newest().map_or(0, |view| view.version)
    }

    /// Returns this log with a view appended.
    #[must_use]
    pub fn with_view(&self, from_ms: u64, members: Vec<Member>) -> Self {
        let mut views = self.views.clone();
        views.push(View {
            version: self.version() + 1,
            from_ms,
            members,
        });
        Self { views }
    }

    /// Returns this log without the views older than `version`.
    #[must_use]
    pub(crate) fn without_before(&self, version: u64) -> Self {
        let kept = self.views.iter().filter(|view| view.version >= version);
        Self::new(kept.cloned().collect())
    }

    /// First version of the consecutive views, up to the newest, that contain `member`.
    pub(crate) fn current_period_start(&self, member: &Member) -> Option<u64> {
        let newest_first = self.views.iter().rev();
        newest_first
            .take_while(|view| view.contains(member))
            .last()
            .map(|view| view.version)
    }

    /// Latest issue time of the keys covered by views with `member`, or `None` if the
    /// newest view contains it.
    pub fn covered_until_ms(&self, member: &Member) -> Option<u64> {
        let last = self.views.iter().rposition(|view| view.contains(member))?;
        let next = self.views.get(last + 1)?;
        Some(next.from_ms.saturating_sub(1))
    }

    /// The instance that answers for a key after its owner, and possibly later holders,
    /// have left. Returns `None` while the owner is present.
    ///
    /// The successor of an instance is the rendezvous member of the first view without
    /// it, so that later changes of the members do not move the memory again. If an
    /// instance is `gone` but still in the newest view, its successor is the rendezvous
    /// member among the others.
    pub fn succession(&self, key: &JobKey, gone: impl Fn(&Member) -> bool) -> Option<Succession> {
        let mut view = self.covering(key.issued_ms())?;
        let mut holder = view.owner(key)?;
        let mut path = Vec::new();
        let mut stored = true;
        while let Some(next) = self.first_without(holder, view.version) {
            path.push(holder.clone());
            view = next;
            holder = next.owner(key)?;
        }
        if gone(holder) {
            path.push(holder.clone());
            holder = self.newest()?.owner_excluding(key, holder)?;
            stored = false;
        }
        let holder = holder.clone();
        (!path.is_empty()).then_some(Succession {
            path,
            holder,
            stored,
        })
    }

    fn first_without(&self, member: &Member, after_version: u64) -> Option<&View> {
        let mut later = self.views.iter();
        later.find(|view| view.version > after_version && !view.contains(member))
    }

    /// Members that answer for keys of `member` according to [`Self::succession`].
    pub fn successors(&self, member: &Member) -> Vec<Member> {
        let pairs = self.views.windows(2);
        let removals = pairs.filter(|pair| pair[0].contains(member) && !pair[1].contains(member));
        let mut successors: Vec<Member> =
            removals.flat_map(|pair| pair[1].members.clone()).collect();
        successors.sort();
        successors.dedup();
        successors
    }

    /// Checks that views have members with distinct names, consecutive versions, and
    /// `from_ms` in ascending order.
    pub fn check(&self) -> Result<(), ViewError> {
        for view in &self.views {
            view.check()?;
        }
        let ordered = self.views.windows(2).all(|pair| {
            pair[0].version + 1 == pair[1].version && pair[0].from_ms <= pair[1].from_ms
        });
        ordered.then_some(()).ok_or(ViewError::OutOfOrder)
    }

    /// Converts and checks a log received in a message.
    pub(crate) fn from_record(record: &peer::ViewRecord) -> Result<Self, ViewError> {
        let log = Self::new(record.views.iter().map(Into::into).collect());
        log.check()?;
        Ok(log)
    }

    /// Converts the log to a message. `revision` is the store revision of its last change.
    pub fn to_record(&self, domain: &str, revision: u64) -> peer::ViewRecord {
        peer::ViewRecord {
            domain: domain.to_owned(),
            views: self.views.iter().map(Into::into).collect(),
            revision,
        }
    }
}

impl View {
    /// Whether this incarnation is a member.
    pub fn contains(&self, member: &Member) -> bool {
        self.members.contains(member)
    }

    /// Number of members, including the requester, that must vouch for an admission limit.
    pub(crate) fn quorum(&self) -> usize {
        match self.members.len() {
            count @ 0..=2 => count,
            3 => 2,
            count => count / 2 + 1,
        }
    }

    /// Number of other members whose seals prevent a quorum for the sealed one.
    pub(crate) fn blocking_quorum(&self) -> usize {
        self.members.len() - self.quorum() + 1
    }

    fn check(&self) -> Result<(), ViewError> {
        if self.members.is_empty() {
            return Err(ViewError::NoMembers);
        }
        let mut names: Vec<&str> = self.members.iter().map(|m| m.name.as_str()).collect();
        names.sort_unstable();
        let repeated = names.windows(2).any(|pair| pair[0] == pair[1]);
        (!repeated).then_some(()).ok_or(ViewError::RepeatedName)
    }

    /// The member that would own `key` if `excluded` were not a member.
    fn owner_excluding(&self, key: &JobKey, excluded: &Member) -> Option<&Member> {
        let hash = key.hash();
        let others = self.members.iter().filter(|member| *member != excluded);
        others.max_by_key(|member| rendezvous_weight(hash, &member.name))
    }

    /// The member that owns `key` within this view.
    pub fn owner(&self, key: &JobKey) -> Option<&Member> {
        let hash = key.hash();
        self.members
            .iter()
            .max_by_key(|member| rendezvous_weight(hash, &member.name))
    }
}
