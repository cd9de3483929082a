// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './changeHistory.js';
export * from './configurationState.js';
export * from './createWrite.js';
export * from './foldChange.js';
export * from './schemas.js';
export * from './serviceView.js';
export * from './snapshot.js';
