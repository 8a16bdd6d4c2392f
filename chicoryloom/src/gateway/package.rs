//! Configurations packed for the way from one host to another.
//!
//! A package is compressed with the configuration that its receiver has as the dictionary, so that it
//! is about as large as what changed.

use std::collections::VecDeque;
use std::io;

use bytes::Bytes;
use chicoryloom_policy::position::Position;
use chicoryloom_policy::replica::Update;
use serde::Deserialize;
use serde::Serialize;
use zstd::bulk::Compressor;
use zstd::bulk::Decompressor;
use zstd::zstd_safe::CParameter;

use super::message::MAX_RESPONSE;

/// Level of compression; higher ones take several times as long for little.
const LEVEL: i32 = 3;
/// Earlier configurations that are kept as dictionaries.
const MAX_BASES: usize = 4;
/// Packages that are kept, as hosts that follow the same relay mostly have the same configuration.
const MAX_PACKAGES: usize = 4;

/// Identifies the contents of a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Digest([u8; blake3::OUT_LEN]);

impl Digest {
    pub(super) fn of(contents: &[u8]) -> Self {
        Self(*blake3::hash(contents).as_bytes())
    }
}

/// A packed update.
#[derive(Clone, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub(super) struct Package {
    /// Contents that the package is compressed with; `None` for none.
    base: Option<Digest>,
    /// Length of the encoded update, in bytes.
    length: u32,
    bytes: Bytes,
}

impl Package {
    /// Packs an update for a receiver that has `base`.
    pub(super) fn pack(update: &Update, base: Option<(Digest, &[u8])>) -> io::Result<Self> {
        let encoded = postcard::to_stdvec(update).map_err(io::Error::other)?;
        let length = u32::try_from(encoded.len()).map_err(io::Error::other)?;
        let dictionary = base.map_or(&[][..], |(_, contents)| contents);
        let mut compressor = Compressor::with_dictionary(LEVEL, dictionary)?;
        compressor.set_parameter(CParameter::ChecksumFlag(true))?;
        let bytes = compressor.compress(&encoded)?.into();
        Ok(Self { base: base.map(|(digest, _)| digest), length, bytes })
    }

    /// Returns the update; `base` is what this host had when it asked for the package.
    pub(super) fn unpack(&self, base: Option<(Digest, &[u8])>) -> io::Result<Update> {
        if self.length > MAX_RESPONSE {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let dictionary = match (self.base, base) {
            (None, _) => &[][..],
            (Some(used), Some((digest, contents))) if used == digest => contents,
            (Some(_), _) => return Err(io::ErrorKind::InvalidData.into()),
        };
        let mut decompressor = Decompressor::with_dictionary(dictionary)?;
        let encoded = decompressor.decompress(&self.bytes, self.length as usize)?;
        postcard::from_bytes(&encoded)
            .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
    }

    /// Returns the size on the way, in bytes.
    pub(super) fn size(&self) -> usize {
        self.bytes.len()
    }
}

/// The configurations that this host has had, and packages of the present one.
#[derive(Debug, Default)]
pub(super) struct Archive {
    /// The latest comes last.
    contents: VecDeque<(Digest, Bytes)>,
    /// Packages by the position of their contents and their base.
    packages: VecDeque<(Position, Package)>,
}

impl Archive {
    /// Adds the present contents.
    pub(super) fn add(&mut self, contents: Bytes) {
        let digest = Digest::of(&contents);
        if self.contents.back().is_some_and(|(latest, _)| *latest == digest) {
            return;
        }
        self.contents.push_back((digest, contents));
        while self.contents.len() > MAX_BASES + 1 {
            self.contents.pop_front();
        }
    }

    /// Returns the present contents.
    pub(super) fn latest(&self) -> Option<(Digest, Bytes)> {
        self.contents.back().cloned()
    }

    /// Returns earlier contents.
    pub(super) fn base(&self, digest: Digest) -> Option<(Digest, Bytes)> {
        self.contents.iter().find(|(known, _)| *known == digest).cloned()
    }

    /// Returns a package of contents for a receiver that has a base, if it was packed before.
    pub(super) fn package(&self, position: Position, base: Option<Digest>) -> Option<Package> {
        let is_same =
            |(of, package): &&(Position, Package)| *of == position && package.base == base;
        self.packages.iter().find(is_same).map(|(_, package)| package.clone())
    }

    /// Keeps a package.
    pub(super) fn keep(&mut self, position: Position, package: Package) {
        self.packages.push_back((position, package));
        while self.packages.len() > MAX_PACKAGES {
            self.packages.pop_front();
        }
    }
}

#[cfg(test)]
mod tests;
