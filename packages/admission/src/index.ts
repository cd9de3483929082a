// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
export * from './adaptiveLimit.js';
export * from './admission.js';
export * from './concurrencyLimit.js';
export * from './admissionMessages.js';
export * from './answerBytes.js';
export * from './customerShares.js';
export * from './fairQueue.js';
export * from './rejectionLimit.js';
export * from './requestRate.js';
export * from './waitingCall.js';
