// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bundles the node into one file, so that a start reads and compiles little. */

import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const UNDICI_CLIENT = fileURLToPath(
  new URL('./undiciClient.cjs', import.meta.url),
);

await build({
  entryPoints: ['platform/lib/main.js'],
  outfile: 'target/lockpin-node.mjs',
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  minifySyntax: true,
  plugins: [
    {
      // Of undici only the client is used; the rest would double the start.
      name: 'undici-client-only',
      setup: ({onResolve}) =>
        onResolve({filter: /^undici$/}, () => ({path: UNDICI_CLIENT})),
    },
  ],
  banner: {
    js: "import {createRequire as createBundleRequire} from 'node:module';const require=createBundleRequire(import.meta.url);",
  },
  logLevel: 'warning',
});
