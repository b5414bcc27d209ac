// Copyright 2026 The basaltarch Authors
// SPDX-License-Identifier: Apache-2.0

//! The chart of detection time against false ejections.
