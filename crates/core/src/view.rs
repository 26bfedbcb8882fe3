//! Which instance owns a key.
//!
//! A failure domain's record in the platform's store is a list of views, each
//! with the first key time it covers and its members. A key belongs to the
//! newest view whose `from_ms` is not after the key's issue time, and within
//! that view to one member by rendezvous hashing. Only that member, in that
//! incarnation, ever starts the key's tasks.
//!
//! Because both the old and the new owner compare the key's own issue time
//! with the same stored number, no two owners can both start a key, whatever
//! their clocks say and however long either was paused.
//!
//! The record changes only by compare-and-swap. Before a view with `from_ms`
//! is stored, the members of the view before it must be unable to admit keys
//! issued at `from_ms` or later.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use trefoil_schema::peer;

use crate::key::{JobKey, rendezvous_weight};

/// An instance and the number of its start.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{name}#{incarnation}")]
pub struct Member {
    /// Configured name of the instance.
    pub name: String,
    /// Number of its start; a restarted process has a larger one.
    pub incarnation: u64,
}

/// The members that own keys from one key time on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Position in the failure domain's history, from 1.
    pub version: u64,
    /// First key time that it covers, Unix milliseconds.
    pub from_ms: u64,
    /// Its members.
    pub members: Vec<Member>,
}

/// The views of a failure domain, oldest first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewLog {
    views: Vec<View>,
}

impl ViewLog {
    /// A log of `views`, oldest first.
    pub fn new(views: Vec<View>) -> Self {
        Self { views }
    }

    /// All views kept, oldest first.
    pub fn views(&self) -> &[View] {
        &self.views
    }

    /// The newest view.
    pub fn newest(&self) -> Option<&View> {
        self.views.last()
    }

    /// The view that covers a key time.
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

/// Who answers for a key whose owner is gone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Succession {
    /// The key's owner, then those that answered for it since, all gone.
    pub path: Vec<Member>,
    /// Who answers for it now; it never starts it.
    pub holder: Member,
    /// Whether each step was made by a stored view.
    pub stored: bool,
}

/// A message or record that breaks a rule of view logs.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum ViewError {
    /// A view names no members.
    #[display("a view has no members")]
    NoMembers,
    /// Two members of a view share a name.
    #[display("a view lists one name twice")]
    RepeatedName,
    /// Versions do not rise by one, or key times go back.
    #[display("views are out of order")]
    OutOfOrder,
}

impl Member {
    /// A member of that name and incarnation.
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
    /// The version of the newest view; 0 before the first.
    pub fn version(&self) -> u64 {
        self.newest().map_or(0, |view| view.version)
    }

    /// This log with one more view.
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

    /// This log without its views older than `version`.
    #[must_use]
    pub fn without_before(&self, version: u64) -> Self {
        let kept = self.views.iter().filter(|view| view.version >= version);
        Self::new(kept.cloned().collect())
    }

    /// First version of the unbroken run of views, up to the newest, that
    /// have `member`.
    pub fn current_period_start(&self, member: &Member) -> Option<u64> {
        let run = self.views.iter().rev();
        run.take_while(|view| view.contains(member))
            .last()
            .map(|view| view.version)
    }

    /// Last issue time of the keys that the views with `member` cover; none
    /// while the newest view has it.
    pub fn covered_until_ms(&self, member: &Member) -> Option<u64> {
        let last = self.views.iter().rposition(|view| view.contains(member))?;
        let next = self.views.get(last + 1)?;
        Some(next.from_ms.saturating_sub(1))
    }

    /// Who answers for a key after its owner, and others after that, left.
    ///
    /// After each of them it is the rendezvous member of the first view
    /// without it: later changes of members do not move the memory again. One
    /// that is `gone` while the newest view still has it is followed by the
    /// rendezvous member of the others. `None` while the owner stays.
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

    /// Members that answer for keys of `member` after it, by
    /// [`Self::succession`].
    pub fn successors(&self, member: &Member) -> Vec<Member> {
        let pairs = self.views.windows(2);
        let removals = pairs.filter(|pair| pair[0].contains(member) && !pair[1].contains(member));
        let mut heirs: Vec<Member> = removals.flat_map(|pair| pair[1].members.clone()).collect();
        heirs.sort();
        heirs.dedup();
        heirs
    }

    /// Checks the rules that every stored log obeys.
    pub fn check(&self) -> Result<(), ViewError> {
        for view in &self.views {
            view.check()?;
        }
        let ordered = self.views.windows(2).all(|pair| {
            pair[0].version + 1 == pair[1].version && pair[0].from_ms <= pair[1].from_ms
        });
        ordered.then_some(()).ok_or(ViewError::OutOfOrder)
    }

    /// The log of a message.
    pub fn from_record(record: &peer::ViewRecord) -> Result<Self, ViewError> {
        let log = Self::new(record.views.iter().map(Into::into).collect());
        log.check()?;
        Ok(log)
    }

    /// A message with this log, as of store revision `revision`.
    pub fn to_record(&self, domain: &str, revision: u64) -> peer::ViewRecord {
        peer::ViewRecord {
            domain: domain.to_owned(),
            views: self.views.iter().map(Into::into).collect(),
            revision,
        }
    }
}

impl View {
    /// Whether `member`, in that incarnation, belongs to the view.
    pub fn contains(&self, member: &Member) -> bool {
        self.members.contains(member)
    }

    /// Members that must vouch, the asker included, before it may admit.
    pub fn quorum(&self) -> usize {
        match self.members.len() {
            count @ 0..=2 => count,
            3 => 2,
            count => count / 2 + 1,
        }
    }

    /// Members, the sealed one aside, whose seals leave it no quorum.
    pub fn blocking_quorum(&self) -> usize {
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

    /// The member that would own `key` were `without` no member.
    fn owner_excluding(&self, key: &JobKey, without: &Member) -> Option<&Member> {
        let hash = key.hash();
        let others = self.members.iter().filter(|member| *member != without);
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
