/**
 * Bundles the hosted node into one file, which loads in a fraction of the time
 * of its packages, and compiles it ahead of its start:
 *
 * - `target/verbenabeam.mjs`: the program, which loads the other two
 * - `target/verbenabeam.bundle.js`: its packages
 * - `target/verbenabeam.bundle.cache`: their compiled code
 *
 * Usage: node scripts/bundle.mjs (after `npm run build`)
 */
import {execFileSync} from 'node:child_process';
import {copyFileSync, readFileSync} from 'node:fs';
import {builtinModules} from 'node:module';
import path from 'node:path';
import {build} from 'esbuild';
import {parse} from 'smol-toml';

const bundle = 'target/verbenabeam.bundle.js';
const program = 'target/verbenabeam.mjs';
const builtins = new Set(builtinModules.flatMap(m => [m, `node:${m}`]));

/** Bundles the client of undici in place of its index. */
const undiciClient = {
  name: 'undici-client',
  setup({onResolve}) {
    onResolve({filter: /^undici$/}, () => ({
      path: path.resolve('scripts/undici-client.cjs'),
    }));
  },
};

/** Replaces assertions of Node.js that parse the bundle when they fail. */
const assertions = {
  name: 'assertions',
  setup({onResolve}) {
    const replacement = path.resolve('scripts/bundle-assert.cjs');
    onResolve({filter: /^(node:)?assert(\/strict)?$/}, ({importer}) =>
      importer === replacement ? undefined : {path: replacement},
    );
  },
};

/**
 * Requires the modules of Node.js in place of importing them: a script, whose
 * compiled code can be cached, has no imports.
 */
const requiredBuiltins = {
  name: 'required-builtins',
  setup({onResolve, onLoad}) {
    onResolve({filter: /.*/}, ({path: name, kind}) =>
      kind === 'import-statement' && builtins.has(name)
        ? {path: name, namespace: 'builtin'}
        : undefined,
    );
    onLoad({filter: /.*/, namespace: 'builtin'}, ({path: name}) => ({
      contents: `module.exports = require(${JSON.stringify(name)});`,
    }));
  },
};

await build({
  entryPoints: ['apps/hosted-node/dist/main.js'],
  outfile: bundle,
  bundle: true,
  plugins: [undiciClient, assertions, requiredBuiltins],
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifyWhitespace: true,
  minifySyntax: true,
  legalComments: 'none',
  // What a script lacks of a module comes as arguments.
  define: {'import.meta.url': 'bundleUrl'},
  banner: {js: "(async (require, bundleUrl, codeCache) => {'use strict';"},
  footer: {js: '})'},
  logLevel: 'warning',
});
copyFileSync('apps/hosted-node/dist/load.js', program);

/** Options of V8 in the command that runs the program. */
function v8Options() {
  const {roles} = parse(readFileSync('deploy/system.toml', 'utf8'));
  const [, ...words] = roles.sidecar.run.split(' ');
  return words.slice(0, words.indexOf(program));
}

// V8 takes a cache only in a process with the options of the one that made it.
execFileSync(
  process.execPath,
  [...v8Options(), 'scripts/code-cache.mjs', bundle],
  {stdio: 'inherit'},
);
