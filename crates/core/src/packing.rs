// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! Compact serialization of values that are kept in memory.
//!
//! A daemon is expected to hold a million resources in two years, and uses few of them at any
//! moment. `postcard` serializes values without field names, and `lz4_flex` compresses what
//! neighbouring values have in common. Packed bytes are read only by the process that wrote them,
//! so neither deserializing nor decompressing can fail.

use std::rc::Rc;

use serde::{Deserialize, Serialize};

/// Serializes a value.
pub fn pack<T: Serialize + ?Sized>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value)
        .unwrap_or_else(|_| unreachable!("serializing to a growing buffer can't fail"))
}

/// Deserializes the first value of `bytes`, which [`pack`] wrote, and advances `bytes` past it.
pub fn unpack_next<'a, T: Deserialize<'a>>(bytes: &mut &'a [u8]) -> T {
    let (value, rest) =
        postcard::take_from_bytes(bytes).unwrap_or_else(|_| unreachable!("written by `pack`"));
    *bytes = rest;
    value
}

/// Deserializes a value that [`pack`] wrote.
pub fn unpack<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> T {
    let mut rest = bytes;
    unpack_next(&mut rest)
}

/// Deserializes consecutive values that [`pack`] wrote.
pub fn unpack_all<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Vec<T> {
    let mut values = Vec::new();
    let mut rest = bytes;
    while !rest.is_empty() {
        values.push(unpack_next(&mut rest));
    }
    values
}

/// Compresses bytes.
pub fn compress(bytes: &[u8]) -> Rc<[u8]> {
    Rc::from(lz4_flex::block::compress_prepend_size(bytes))
}

/// Decompresses bytes that [`compress`] returned.
pub fn decompress(bytes: &[u8]) -> Vec<u8> {
    lz4_flex::block::decompress_size_prepended(bytes)
        .unwrap_or_else(|_| unreachable!("written by `compress`"))
}
