/**
 * Bundles the hosted node into one file, which loads in a fraction of the time
 * of its packages.
 *
 * Usage: node scripts/bundle.mjs (after `npm run build`)
 */
import {build} from 'esbuild';

const requireShim = [
  "import {createRequire as createRequireOfBundle} from 'node:module';",
  'const require = createRequireOfBundle(import.meta.url);',
].join('\n');

await build({
  entryPoints: ['apps/hosted-node/dist/main.js'],
  outfile: 'target/verbenabeam.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  banner: {js: requireShim},
  logLevel: 'warning',
});
