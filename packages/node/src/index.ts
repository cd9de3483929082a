// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './connection/codec.js';
export * from './process/composition.js';
export * from './process/nodeEnvironment.js';
export * from './process/nodeHost.js';
export * from './process/runNode.js';
export * from './settings/readSettings.js';
export * from './settings/settingsSchema.js';
