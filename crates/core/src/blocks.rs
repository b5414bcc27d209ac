// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Keeps the resources of one kind in packed blocks.
//!
//! Resources stand in the order of their names, up to [`BLOCK_MAX`] to a block. Neighbours repeat
//! most of each other, so a block packs to a fraction of its resources. A look-up unpacks one block
//! and reads one value; a change writes one block anew. Copies share all blocks.

use std::rc::Rc;

use imbl::OrdMap;

use crate::config::StoredResource;
use crate::packing;

/// Resources in one block at the most. Larger blocks pack little tighter, and a look-up reads half a
/// block on average (docs/MEASUREMENTS.md, memory).
pub const BLOCK_MAX: usize = 128;

/// `ResourceBlocks` is the resources of one kind.
#[derive(Debug, Clone, Default)]
pub struct ResourceBlocks {
    /// Blocks by the name of their first resource.
    blocks: OrdMap<Rc<str>, Rc<[u8]>>,
    len: usize,
}

/// One resource in an unpacked block: its name and its packed value.
type BlockItem<'a> = (&'a str, &'a [u8]);

impl ResourceBlocks {
    /// Builds blocks from resources, which may stand in any order; of two with one name the last
    /// counts.
    pub fn build(resources: impl Iterator<Item = (Rc<str>, StoredResource)>) -> Self {
        let mut packed: Vec<(Rc<str>, Vec<u8>)> =
            resources.map(|(name, stored)| (name, packing::pack(&stored))).collect();
        packed.reverse();
        packed.sort_by(|left, right| left.0.cmp(&right.0));
        packed.dedup_by(|later, first| later.0 == first.0);
        let mut built = Self { blocks: OrdMap::new(), len: packed.len() };
        for part in packed.chunks(BLOCK_MAX) {
            let items: Vec<BlockItem> =
                part.iter().map(|(name, value)| (&**name, &**value)).collect();
            built.put_block(&items);
        }
        built
    }

    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Says whether there is no resource.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the resource with this name.
    pub fn get(&self, name: &str) -> Option<StoredResource> {
        self.find(name, |value| packing::unpack(value))
    }

    /// Says whether there is a resource with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.find(name, |_| ()).is_some()
    }

    fn find<T>(&self, name: &str, read: impl FnOnce(&[u8]) -> T) -> Option<T> {
        let (_, block) = self.blocks.get_prev(name)?;
        let bytes = packing::expand(block);
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let (known, value): BlockItem = packing::take(&mut rest);
            if known >= name {
                return (known == name).then(|| read(value));
            }
        }
        None
    }

    /// Lists the resources in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (Rc<str>, StoredResource)> + '_ {
        self.blocks.iter().flat_map(|(_, block)| {
            let bytes = packing::expand(block);
            let items = items_of(&bytes);
            let read = |(name, value): &BlockItem| (Rc::from(*name), packing::unpack(value));
            items.iter().map(read).collect::<Vec<_>>()
        })
    }

    /// Lists the names in their order.
    pub fn names(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        self.blocks.iter().flat_map(|(_, block)| {
            let bytes = packing::expand(block);
            items_of(&bytes).iter().map(|(name, _)| Rc::from(*name)).collect::<Vec<_>>()
        })
    }

    /// Adds or replaces a resource.
    pub fn insert(&mut self, name: &str, stored: &StoredResource) {
        let value = packing::pack(stored);
        let bytes = self.take_block(name);
        let mut items = items_of(&bytes);
        match items.binary_search_by(|(known, _)| (*known).cmp(name)) {
            Ok(index) => items[index] = (name, &value),
            Err(index) => {
                items.insert(index, (name, &value));
                self.len += 1;
            }
        }
        let half = if items.len() > BLOCK_MAX { items.len() / 2 } else { items.len() };
        let (front, back) = items.split_at(half);
        self.put_block(front);
        self.put_block(back);
    }

    /// Removes a resource.
    pub fn remove(&mut self, name: &str) {
        let bytes = self.take_block(name);
        let mut items = items_of(&bytes);
        let before = items.len();
        items.retain(|(known, _)| *known != name);
        self.len -= before - items.len();
        self.put_block(&items);
    }

    /// Takes out the block that a name belongs to and returns it unpacked; empty without any.
    fn take_block(&mut self, name: &str) -> Vec<u8> {
        let before = self.blocks.get_prev(name).map(|(first, _)| first.clone());
        let first = before.or_else(|| self.blocks.keys().next().cloned());
        let first = match first {
            Some(first) => first,
            None => return Vec::new(),
        };
        self.blocks.remove(&first).map_or(Vec::new(), |block| packing::expand(&block))
    }

    fn put_block(&mut self, items: &[BlockItem]) {
        if let Some((first, _)) = items.first() {
            let bytes: Vec<u8> = items.iter().flat_map(packing::pack).collect();
            self.blocks.insert(Rc::from(*first), packing::compress(&bytes));
        }
    }
}

fn items_of(bytes: &[u8]) -> Vec<BlockItem<'_>> {
    let mut items = Vec::with_capacity(BLOCK_MAX + 1);
    let mut rest = bytes;
    while !rest.is_empty() {
        items.push(packing::take(&mut rest));
    }
    items
}
