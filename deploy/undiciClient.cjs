// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The part of undici that a node uses: clients and pools with request(). */

'use strict';

const Client = require('undici/lib/dispatcher/client');
const Dispatcher = require('undici/lib/dispatcher/dispatcher');
const Pool = require('undici/lib/dispatcher/pool');
const request = require('undici/lib/api/api-request');

Object.assign(Dispatcher.prototype, {request});

module.exports = {Client, Pool};
