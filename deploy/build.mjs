// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Bundles the node, so that a start reads and compiles little. */

import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const UNDICI_CLIENT = fileURLToPath(
  new URL('./undiciClient.cjs', import.meta.url),
);

await build({
  entryPoints: {'lockpin-node': 'platform/lib/start.js'},
  outdir: 'target',
  outExtension: {'.js': '.mjs'},
  // The file that is started is small; it loads the rest after its first lines.
  splitting: true,
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
