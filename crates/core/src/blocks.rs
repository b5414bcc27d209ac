// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Stores the resources of one kind in compressed blocks.
//!
//! Resources are ordered by name, up to [`BLOCK_MAX`] to a block. Neighbouring resources share most
//! of their content, so a block compresses to a fraction of its size. A lookup decompresses one
//! block and deserializes one value; a change rewrites one block. Copies of the set share all
//! blocks.

use std::rc::Rc;

use imbl::OrdMap;

use crate::config::StoredResource;
use crate::packing;

/// Maximum number of resources in one block. Larger blocks would compress only a little better, and
/// would slow down lookups, which scan half a block on average.
pub const BLOCK_MAX: usize = 128;

/// `ResourceBlocks` is the set of resources of one kind.
#[derive(Debug, Clone, Default)]
pub struct ResourceBlocks {
    /// Compressed blocks by the name of the first resource in each.
    blocks: OrdMap<Rc<str>, Rc<[u8]>>,
    len: usize,
}

/// One resource in a decompressed block: its name and its packed value.
type BlockItem<'a> = (&'a str, &'a [u8]);

impl ResourceBlocks {
    /// Returns the number of resources.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there is no resource.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the resource with this name.
    pub fn get(&self, name: &str) -> Option<StoredResource> {
        self.find(name, |value| packing::unpack(value))
    }

    /// Returns whether there is a resource with this name.
    pub fn contains(&self, name: &str) -> bool {
        self.find(name, |_| ()).is_some()
    }

    fn find<T>(&self, name: &str, read: impl FnOnce(&[u8]) -> T) -> Option<T> {
        let (_, block) = self.blocks.get_prev(name)?;
        let bytes = packing::decompress(block);
        let mut rest = &bytes[..];
        while !rest.is_empty() {
            let (item_name, value): BlockItem = packing::unpack_next(&mut rest);
            if item_name >= name {
                return (item_name == name).then(|| read(value));
            }
        }
        None
    }

    /// Lists the resources in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (Rc<str>, StoredResource)> + '_ {
        self.blocks.iter().flat_map(|(_, block)| {
            let bytes = packing::decompress(block);
            let items: Vec<BlockItem> = packing::unpack_all(&bytes);
            let read = |(name, value): &BlockItem| (Rc::from(*name), packing::unpack(value));
            items.iter().map(read).collect::<Vec<_>>()
        })
    }

    /// Lists the names in order.
    pub fn names(&self) -> impl Iterator<Item = Rc<str>> + '_ {
        self.blocks.iter().flat_map(|(_, block)| {
            let bytes = packing::decompress(block);
            packing::unpack_all::<BlockItem>(&bytes)
                .iter()
                .map(|(name, _)| Rc::from(*name))
                .collect::<Vec<_>>()
        })
    }

    /// Adds or replaces a resource.
    pub fn insert(&mut self, name: &str, stored: &StoredResource) {
        let value = packing::pack(stored);
        let bytes = self.take_block(name);
        let mut items: Vec<BlockItem> = packing::unpack_all(&bytes);
        match items.binary_search_by(|(item_name, _)| (*item_name).cmp(name)) {
            Ok(index) => items[index] = (name, &value),
            Err(index) => {
                items.insert(index, (name, &value));
                self.len += 1;
            }
        }
        // A block that is too long is split in two.
        let front_len = if items.len() > BLOCK_MAX { items.len() / 2 } else { items.len() };
        let (front, back) = items.split_at(front_len);
        self.put_block(front);
        self.put_block(back);
    }

    /// Removes a resource.
    pub fn remove(&mut self, name: &str) {
        let bytes = self.take_block(name);
        let mut items: Vec<BlockItem> = packing::unpack_all(&bytes);
        let len_before = items.len();
        items.retain(|(item_name, _)| *item_name != name);
        self.len -= len_before - items.len();
        self.put_block(&items);
    }

    /// Removes the block that a name belongs to and returns the decompressed bytes of the block; no
    /// bytes if there are no blocks. A name before the first block belongs to the first block.
    fn take_block(&mut self, name: &str) -> Vec<u8> {
        let containing = self.blocks.get_prev(name).map(|(first, _)| first.clone());
        let first = containing.or_else(|| self.blocks.keys().next().cloned());
        let first = match first {
            Some(first) => first,
            None => return Vec::new(),
        };
        self.blocks.remove(&first).map_or(Vec::new(), |block| packing::decompress(&block))
    }

    /// Adds a block of these items; does nothing if `items` is empty.
    fn put_block(&mut self, items: &[BlockItem]) {
        if let Some((first, _)) = items.first() {
            let bytes: Vec<u8> = items.iter().flat_map(packing::pack).collect();
            self.blocks.insert(Rc::from(*first), packing::compress(&bytes));
        }
    }
}

/// `BlockBuilder` builds blocks from a stream of resources. Resources that arrive in the order of
/// their names are packed a block at a time. A resource out of order is inserted individually,
/// which rewrites a block.
#[derive(Debug, Default)]
pub struct BlockBuilder {
    built: ResourceBlocks,
    pending: Vec<(Rc<str>, Vec<u8>)>,
    last_name: Option<Rc<str>>,
}

impl BlockBuilder {
    /// Adds a resource, or replaces a resource of the same name that was added before.
    pub fn push(&mut self, name: &str, stored: &StoredResource) {
        if self.last_name.as_ref().is_some_and(|last_name| **last_name >= *name) {
            self.flush();
            self.built.insert(name, stored);
            return;
        }
        let name: Rc<str> = Rc::from(name);
        self.last_name = Some(name.clone());
        self.pending.push((name, packing::pack(stored)));
        if self.pending.len() == BLOCK_MAX {
            self.flush();
        }
    }

    /// Moves the pending resources into a block.
    fn flush(&mut self) {
        let items: Vec<BlockItem> =
            self.pending.iter().map(|(name, value)| (&**name, &**value)).collect();
        self.built.put_block(&items);
        self.built.len += items.len();
        self.pending.clear();
    }

    /// Returns the set of all added resources.
    pub fn finish(mut self) -> ResourceBlocks {
        self.flush();
        self.built
    }
}
