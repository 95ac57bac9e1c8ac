/**
 * Bundles the daemon from its sources into `target/`, for machines on which
 * start-up work and memory count. Code that a role does not use stays in
 * chunks that it does not load.
 */
import {readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';

import {build} from 'esbuild';

const rootFolder = fileURLToPath(new URL('..', import.meta.url));

await build({
  absWorkingDir: rootFolder,
  entryPoints: {briarpind: 'packages/daemon/src/briarpind.ts'},
  outdir: 'target',
  bundle: true,
  splitting: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  legalComments: 'none',
  alias: {
    ...listSources(),
    // Its other format hides its parts from a bundler.
    'jsonc-parser': 'jsonc-parser/lib/esm/main.js',
  },
  // Libraries in CommonJS ask for Node's modules by `require`.
  banner: {
    js:
      "import {createRequire} from 'node:module';" +
      'const require = createRequire(import.meta.url);',
  },
  logLevel: 'warning',
});

/** Source of each package of the workspace, so that no build goes before. */
function listSources() {
  const folders = readdirSync(join(rootFolder, 'packages'), {
    withFileTypes: true,
  })
    .filter(entry => entry.isDirectory())
    .map(entry => join('packages', entry.name));
  const sources = {};
  for (const folder of [...folders, 'platform']) {
    const file = join(rootFolder, folder, 'package.json');
    const {name} = JSON.parse(readFileSync(file, 'utf8'));
    sources[name] = join(rootFolder, folder, 'src', 'index.ts');
  }
  return sources;
}
