// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The account of bytes that are held for clients.

use basaltarch_core::account::{AccountFull, ByteAccount};

#[test]
fn verify_holds_share_a_budget_and_give_it_back() {
    let account = ByteAccount::new(133);
    let mut first = account.open_hold();
    let mut second = account.open_hold();
    assert_eq!(first.try_reach(100), Ok(()));
    assert_eq!(second.try_reach(1), Err(AccountFull));
    assert_eq!((second.bytes(), account.held_bytes()), (0, 100));
    first.set(40);
    assert_eq!(second.try_reach(60), Ok(()));
    assert_eq!(second.try_reach(50), Ok(()), "a hold that has more needs nothing");
    drop(first);
    assert_eq!(account.held_bytes(), 60);
}

#[test]
fn verify_bytes_that_are_held_already_have_a_reserve_and_may_exceed_the_budget() {
    let account = ByteAccount::new(100);
    let mut hold = account.open_hold();
    assert_eq!(hold.try_reach(76), Err(AccountFull), "a quarter is kept for what is there already");
    hold.set(100);
    assert!(!account.is_exceeded());
    hold.set(101);
    assert!(account.is_exceeded());
    assert_eq!(account.open_hold().try_reach(0), Ok(()));
    drop(hold);
    assert_eq!(account.held_bytes(), 0);
}
