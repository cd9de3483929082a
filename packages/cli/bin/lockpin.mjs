#!/usr/bin/env node
// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
// npm links a command only if its file exists when it installs, before the build.
import '../lib/main.js';
