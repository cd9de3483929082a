// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './datagrams.js';
export * from './logReaders.js';
export * from './member.js';
export * from './membership.js';
export * from './updateQueue.js';
