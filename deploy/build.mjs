// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Bundles the node, so that a start reads little, and compiles the bundle, so that
 * neither the start nor the first calls wait for that.
 */

import {execFileSync} from 'node:child_process';
import {rmSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const UNDICI_CLIENT = fileURLToPath(
  new URL('./undiciClient.cjs', import.meta.url),
);

/** Code compiled under other flags is refused; these are those of deploy/system.toml. */
const FLAGS = ['--max-old-space-size=128', '--max-semi-space-size=4'];

const OPTIONS = {
  bundle: true,
  platform: 'node',
  target: 'node20',
  minifySyntax: true,
  // Half of the text is white space and comments; lines stay short for stack traces.
  minifyWhitespace: true,
  lineLimit: 120,
  logLevel: 'warning',
};

rmSync('target', {recursive: true, force: true});

// The file that is started is small; it loads the rest after its first lines.
await build({
  ...OPTIONS,
  entryPoints: {'lockpin-node': 'platform/lib/start.js'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  format: 'esm',
});

await build({
  ...OPTIONS,
  entryPoints: {node: 'platform/lib/main.js'},
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  format: 'cjs',
  // platform/src/loadNode.ts calls this function.
  banner: {js: '(function (exports, require, module) {'},
  footer: {js: '})'},
  plugins: [
    {
      // Of undici only the client is used; the rest would double the start.
      name: 'undici-client-only',
      setup: ({onResolve}) =>
        onResolve({filter: /^undici$/}, () => ({path: UNDICI_CLIENT})),
    },
  ],
});

const warmUp = fileURLToPath(new URL('./compile.mjs', import.meta.url));
execFileSync(process.execPath, [...FLAGS, warmUp], {
  stdio: ['ignore', 'ignore', 'inherit'],
});
