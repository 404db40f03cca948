/**
 * Bundles the hosted node into one file, which loads in a fraction of the time
 * of its packages.
 *
 * Usage: node scripts/bundle.mjs (after `npm run build`)
 */
import path from 'node:path';
import {build} from 'esbuild';

const requireShim = [
  "import {createRequire as createRequireOfBundle} from 'node:module';",
  'const require = createRequireOfBundle(import.meta.url);',
].join('\n');

/** Bundles the client of undici in place of its index. */
const undiciClient = {
  name: 'undici-client',
  setup({onResolve}) {
    onResolve({filter: /^undici$/}, () => ({
      path: path.resolve('scripts/undici-client.cjs'),
    }));
  },
};

await build({
  entryPoints: ['apps/hosted-node/dist/main.js'],
  outfile: 'target/verbenabeam.mjs',
  bundle: true,
  plugins: [undiciClient],
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minify: true,
  keepNames: true,
  legalComments: 'none',
  banner: {js: requireShim},
  logLevel: 'warning',
});
