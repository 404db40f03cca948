/**
 * Compares the processor time of a call at this checkout with that at another commit,
 * side by side on this machine. Cold and warm code: windows of 4 s from the first call on.
 *
 * Usage: node scripts/pair-cost.mjs COMMIT [ROUNDS], after `npm run build` and `npm run
 * bundle`, with nothing else running. The exit status is 1 if this checkout is dearer by
 * more than `maxRatio` in the median of all windows.
 */
import {execFileSync, spawn} from 'node:child_process';
import {once} from 'node:events';
import {
  cpSync,
  existsSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
} from 'node:fs';
import path from 'node:path';

const maxRatio = 1.1;
const defaultRounds = 3;
const usageExit = 2;
const here = process.cwd();

/** Checks a commit out beside this checkout and builds it there. */
function buildCheckout(commit) {
  const sha = git('rev-parse', '--short', commit);
  const folder = path.resolve(here, '..', `pair-${sha}`);
  if (existsSync(folder)) return folder;
  git('worktree', 'add', '--detach', folder, sha);
  const run = (program, ...args) =>
    execFileSync(program, args, {cwd: folder, stdio: 'inherit'});
  run('npm', 'ci', '--silent', '--prefer-offline', '--no-audit', '--no-fund');
  run('npx', 'tsc', '-b', 'apps/hosted-node');
  run('node', 'scripts/bundle.mjs');
  return folder;
}

function git(...args) {
  return execFileSync('git', args, {encoding: 'utf8'}).trim();
}

/** Plays the load once; resolves with the ms a call of each window. */
async function play(checkout) {
  const folder = mkdtempSync(path.join(checkout, 'pair-'));
  try {
    cpSync(path.join(checkout, 'review/lib'), path.join(folder, 'lib'), {
      recursive: true,
    });
    mkdirSync(path.join(folder, 'case'));
    const file = path.join(folder, 'case', 'call-cost.mjs');
    cpSync('scripts/call-cost.mjs', file);
    const child = spawn(process.execPath, [file], {stdio: 'ignore'});
    const [status] = await once(child, 'exit');
    const text = readFileSync(path.join(folder, 'case', 'record.txt'), 'utf8');
    const found = /cost (\[.*\])/.exec(text)?.[1];
    if (status !== 0 || found === undefined) {
      throw new Error(`${checkout}: status ${status}\n${text}`);
    }
    return JSON.parse(found);
  } finally {
    rmSync(folder, {recursive: true});
  }
}

function median(values) {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)];
}

const [commit, rounds = defaultRounds] = process.argv.slice(2);
if (commit === undefined) {
  process.stderr.write('usage: node scripts/pair-cost.mjs COMMIT [ROUNDS]\n');
  process.exit(usageExit);
}
const other = buildCheckout(commit);
const costs = {here: [], other: []};
for (let round = 0; round < Number(rounds); round++) {
  const [own, others] = await Promise.all([play(here), play(other)]);
  costs.here.push(...own);
  costs.other.push(...others);
  const show = windows => windows.map(ms => ms.toFixed(2)).join(' ');
  process.stdout.write(`here ${show(own)}  ${commit} ${show(others)}\n`);
}
const ratio = median(costs.here) / median(costs.other);
process.stdout.write(`ratio of the medians: ${ratio.toFixed(3)}\n`);
process.exitCode = ratio <= maxRatio ? 0 : 1;
