// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Bundles the node, so that a start reads little, and compiles the bundle, so that
 * neither the start nor the first calls wait for that.
 */

import {execFileSync} from 'node:child_process';
import {
  existsSync,
  readFileSync,
  renameSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {join} from 'node:path';
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

/** Holds what is started. */
const TARGET = 'target';

/** Made beside it: nodes may start from the files before until all are there. */
const MADE = join(TARGET, 'made');

/** Names what the compiled code is good for. */
const STAMP = `${process.version} ${FLAGS.join(' ')}\n`;

/** The file that is started comes last. */
const FILES = ['stamp', 'node.cache', 'node.cjs', 'lockpin-node.mjs'];

rmSync(MADE, {recursive: true, force: true});

// The file that is started is small; it loads the rest after its first lines.
await build({
  ...OPTIONS,
  entryPoints: {'lockpin-node': 'platform/lib/start.js'},
  outdir: MADE,
  outExtension: {'.js': '.mjs'},
  format: 'esm',
});

await build({
  ...OPTIONS,
  entryPoints: {node: 'platform/lib/main.js'},
  outdir: MADE,
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

writeFileSync(join(MADE, 'stamp'), STAMP);

/** Whether a file is the same in what is started now. */
const isUnchanged = (file) =>
  existsSync(join(TARGET, file)) &&
  readFileSync(join(TARGET, file)).equals(readFileSync(join(MADE, file)));

if (!FILES.filter((file) => file !== 'node.cache').every(isUnchanged)) {
  const warmUp = fileURLToPath(new URL('./compile.mjs', import.meta.url));
  execFileSync(process.execPath, [...FLAGS, warmUp, MADE], {
    stdio: ['ignore', 'ignore', 'inherit'],
  });
  FILES.forEach((file) => renameSync(join(MADE, file), join(TARGET, file)));
}
rmSync(MADE, {recursive: true, force: true});
