/**
 * Bundles the daemon from its sources into `target/`, for machines with tight
 * limits on start-up time and memory. Code that a role does not use is split
 * into chunks that the role does not load.
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
    // The UMD build hides its imports from a bundler.
    'jsonc-parser': 'jsonc-parser/lib/esm/main.js',
  },
  // CommonJS libraries load Node.js modules with `require`.
  banner: {
    js:
      "import {createRequire} from 'node:module';" +
      'const require = createRequire(import.meta.url);',
  },
  logLevel: 'warning',
});

/**
 * Maps each package of the workspace to its source, so that bundling needs no
 * previous build.
 */
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
