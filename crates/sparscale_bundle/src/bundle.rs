//! The checked bundle, whose workspaces are kept in hash buckets.
//!
//! Versions share the buckets that do not differ, which keeps copies and small deltas cheap.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use crate::check::{self, Error};
use crate::document::{Document, Fleet, KeyHash, Workspace};
use crate::hash::Hash;

/// Number of workspace buckets; a delta to one workspace rehashes one bucket and the list of bucket hashes.
const BUCKET_COUNT: usize = 256;

#[derive(Clone)]
struct Bucket {
    workspaces: BTreeMap<String, Arc<Workspace>>,
    hash: [u8; 32],
}

/// A checked bundle; clones share all content.
#[derive(Clone)]
pub struct Bundle {
    version: u64,
    fleet: Arc<Fleet>,
    fleet_hash: [u8; 32],
    buckets: Vec<Arc<Bucket>>,
    workspaces_by_key: Vec<Arc<BTreeMap<KeyHash, Arc<Workspace>>>>,
}

impl Bundle {
    /// Returns the version of the bundle.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the fleet section: all content that is not per workspace.
    pub fn fleet(&self) -> &Arc<Fleet> {
        &self.fleet
    }

    /// Returns the workspace that the caller key `key` belongs to.
    pub fn authenticate(&self, key: &str) -> Option<Arc<Workspace>> {
        let hash = KeyHash::of(key);
        self.workspaces_by_key[key_bucket(&hash)].get(&hash).map(Arc::clone)
    }

    /// Returns the workspace called `name`.
    pub fn workspace(&self, name: &str) -> Option<&Arc<Workspace>> {
        self.buckets[name_bucket(name)].workspaces.get(name)
    }

    /// Returns all workspaces, in bucket order.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.buckets.iter().flat_map(|bucket| bucket.workspaces.values())
    }

    /// Computes the hash of the content, including the version.
    pub fn hash(&self) -> Hash {
        let mut digest = Sha256::new();
        digest.update(b"sparscale bundle 1");
        digest.update(self.version.to_be_bytes());
        digest.update(self.fleet_hash);
        for bucket in &self.buckets {
            digest.update(bucket.hash);
        }
        Hash(digest.finalize().into())
    }

    /// Converts to the text form, with the workspaces sorted by name.
    pub fn to_document(&self) -> Document {
        let mut workspaces: Vec<Workspace> = self.workspaces().map(|workspace| workspace.as_ref().clone()).collect();
        workspaces.sort_by(|left, right| left.name.cmp(&right.name));
        Document {
            version: self.version,
            fleet: self.fleet.as_ref().clone(),
            workspaces,
        }
    }

    /// Returns the same content under another version.
    #[must_use]
    pub fn with_version(&self, version: u64) -> Self {
        Self {
            version,
            ..self.clone()
        }
    }

    /// Replaces the fleet section; fails if a workspace does not match the new section.
    pub(crate) fn replace_fleet(&mut self, fleet: Fleet) -> Result<(), Error> {
        check::fleet(&fleet)?;
        for workspace in self.workspaces() {
            check::workspace(workspace, &fleet)?;
        }
        self.set_fleet(fleet);
        Ok(())
    }

    fn set_fleet(&mut self, fleet: Fleet) {
        self.fleet_hash = hash_of(&fleet);
        self.fleet = Arc::new(fleet);
    }

    /// Adds `workspace` or replaces the workspace of that name; fails if another workspace has one of its keys.
    pub(crate) fn put_workspace(&mut self, workspace: Workspace) -> Result<(), Error> {
        check::workspace(&workspace, &self.fleet)?;
        for hash in &workspace.key_hashes {
            let holder = self.workspaces_by_key[key_bucket(hash)].get(hash);
            if let Some(holder) = holder.filter(|holder| holder.name != workspace.name) {
                return Err(check::shared_key_error(&workspace.name, &holder.name));
            }
        }
        self.remove_keys_of(&workspace.name);
        let workspace = Arc::new(workspace);
        for hash in &workspace.key_hashes {
            Arc::make_mut(&mut self.workspaces_by_key[key_bucket(hash)]).insert(*hash, Arc::clone(&workspace));
        }
        self.edit_bucket(&workspace.name, |workspaces| {
            workspaces.insert(workspace.name.clone(), Arc::clone(&workspace));
        });
        Ok(())
    }

    /// Removes the workspace called `name`, if it exists.
    pub(crate) fn remove_workspace(&mut self, name: &str) {
        self.remove_keys_of(name);
        self.edit_bucket(name, |workspaces| {
            workspaces.remove(name);
        });
    }

    fn remove_keys_of(&mut self, name: &str) {
        let Some(workspace) = self.workspace(name).map(Arc::clone) else {
            return;
        };
        for hash in &workspace.key_hashes {
            Arc::make_mut(&mut self.workspaces_by_key[key_bucket(hash)]).remove(hash);
        }
    }

    fn edit_bucket(&mut self, name: &str, edit: impl FnOnce(&mut BTreeMap<String, Arc<Workspace>>)) {
        let bucket = Arc::make_mut(&mut self.buckets[name_bucket(name)]);
        edit(&mut bucket.workspaces);
        bucket.hash = bucket_hash(&bucket.workspaces);
    }
}

impl fmt::Debug for Bundle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Bundle {{ version: {}, hash: {:?} }}", self.version, self.hash())
    }
}

impl PartialEq for Bundle {
    fn eq(&self, other: &Self) -> bool {
        self.hash() == other.hash()
    }
}

impl TryFrom<Document> for Bundle {
    type Error = Error;

    fn try_from(document: Document) -> Result<Self, Self::Error> {
        check::document(&document)?;
        let empty = Arc::new(Bucket {
            workspaces: BTreeMap::new(),
            hash: bucket_hash(&BTreeMap::new()),
        });
        let mut workspaces_by_bucket: Vec<BTreeMap<String, Arc<Workspace>>> = vec![BTreeMap::new(); BUCKET_COUNT];
        let mut workspaces_by_key: Vec<BTreeMap<KeyHash, Arc<Workspace>>> = vec![BTreeMap::new(); BUCKET_COUNT];
        for workspace in document.workspaces {
            let workspace = Arc::new(workspace);
            for hash in &workspace.key_hashes {
                workspaces_by_key[key_bucket(hash)].insert(*hash, Arc::clone(&workspace));
            }
            workspaces_by_bucket[name_bucket(&workspace.name)].insert(workspace.name.clone(), workspace);
        }
        let into_bucket = |workspaces: BTreeMap<String, Arc<Workspace>>| {
            if workspaces.is_empty() {
                return Arc::clone(&empty);
            }
            let hash = bucket_hash(&workspaces);
            Arc::new(Bucket { workspaces, hash })
        };
        Ok(Self {
            version: document.version,
            fleet_hash: hash_of(&document.fleet),
            fleet: Arc::new(document.fleet),
            buckets: workspaces_by_bucket.into_iter().map(into_bucket).collect(),
            workspaces_by_key: workspaces_by_key.into_iter().map(Arc::new).collect(),
        })
    }
}

impl Serialize for Bundle {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.to_document().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for Bundle {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let document = Document::deserialize(deserializer)?;
        Self::try_from(document).map_err(serde::de::Error::custom)
    }
}

fn key_bucket(hash: &KeyHash) -> usize {
    usize::from(hash.as_bytes()[0])
}

fn name_bucket(name: &str) -> usize {
    usize::from(Sha256::digest(name.as_bytes())[0])
}

fn bucket_hash(workspaces: &BTreeMap<String, Arc<Workspace>>) -> [u8; 32] {
    let mut digest = Sha256::new();
    for workspace in workspaces.values() {
        digest.update(hash_of(workspace.as_ref()));
    }
    digest.finalize().into()
}

/// Hashes the `postcard` encoding, which is the same for equal values.
fn hash_of<T: Serialize>(value: &T) -> [u8; 32] {
    // Serializing plain data into memory cannot fail; an empty encoding would be detected as a hash mismatch.
    let encoded = postcard::to_stdvec(value).unwrap_or_default();
    Sha256::digest(encoded).into()
}
