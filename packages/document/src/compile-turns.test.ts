import assert from 'node:assert/strict';
import {Then} from '@cucumber/cucumber';
import type {DataTable} from '@cucumber/cucumber';
import {compile, compileInTurns, diffInTurns} from './index.js';

const service = (name: string) =>
  `[services.${name}]\nversions = ["v1"]\ncurrent = "v1"\n`;
const route = (name: string, line = '') =>
  `[[routes]]\nname = "${name}"\nservice = "s"\npath_prefix = "/${name}"\n${line}\n`;
/** Its spaces make the compiler parse the whole text. */
const wholeTextHeader = '[ services.whole ]';
const wholeText = `${wholeTextHeader}\nversions = ["v1"]\ncurrent = "v1"\n`;

/** A document of at most so many bytes. */
function largeDocument(bytes: number, first = '', timeout = '2s'): string {
  const parts = [first, service('s')];
  let length = parts.join('').length;
  for (let i = 0; ; i++) {
    const next = route(`r${i}`, `timeout = "${timeout}"`);
    length += next.length;
    if (length > bytes) return parts.join('');
    parts.push(next);
  }
}

function compiled(text: string) {
  return compile(text).unwrapOrElse(err => assert.fail(err.message));
}

Then(
  'a large document of {int} bytes is compiled in at least {int} turns',
  async (bytes: number, least: number) => {
    const text = largeDocument(bytes);
    let turns = 1;
    const res = await compileInTurns(text, () => Promise.resolve(turns++));
    assert.ok(turns >= least, `${turns} turns`);
    assert.equal(res.isOk && res.value.hash, compiled(text).hash);
  },
);

Then(
  'the difference of two large documents is found in at least {int} turns',
  async (least: number) => {
    const [a, b] = ['2s', '3s'].map(timeout =>
      compiled(largeDocument(999_000, '', timeout)),
    );
    let turns = 1;
    const pause = () => Promise.resolve(turns++);
    const changes = await diffInTurns(a!, b!, pause);
    assert.ok(turns >= least, `${turns} turns`);
    assert.equal(changes.length, a!.routes.length);
  },
);

const large = largeDocument(100_000);
const inString = `${'x'.repeat(20)}\n[[routes]]\n`.repeat(3_000);

/** Large documents with a part that a split must not change. */
const documents: Readonly<Record<string, string>> = {
  'nothing else': large,
  'lines that end in CRLF': large.replaceAll('\n', '\r\n'),
  'policy and callers last': `${large}[policy]\nstrictness = "fast"\n[callers]\nclasses = ["a"]\n`,
  'a multi-line array': `${large}${service('t').replace('["v1"]', '[\n"v1"\n]')}`,
  'a comment with U+2028': large.replaceAll(
    '[[routes]]',
    '# \u2028[[routes]]\n[[routes]]',
  ),
  'a header in a string': `${large}${route('long', `host = """\n${inString}"""`)}`,
  'a service twice': `${large}${service('s')}`,
  'the policy twice': `[policy]\n${large}[policy]\n`,
  'services after a service': `[services]\n${large}[services]\n`,
  'routes as a table': `${large}[routes]\n`,
  'an inline service': `services = {t = {versions = ["v1"], current = "v1"}}\n${large}`,
  'an unknown key': `${large}${route('late', 'colour = "red"')}`,
  'an unknown service': `${large}${route('late').replace('"s"', '"missing"')}`,
  'a syntax error': `${large}${route('late', 'host = ')}`,
};

function outcome(text: string): Readonly<Record<string, unknown>> {
  return compile(text).match<Readonly<Record<string, unknown>>>({
    Ok: ({routes, callerClasses, strictness, services}) => {
      const names = [...services.keys()].filter(name => name !== 'whole');
      return {code: 0, routes, callerClasses, strictness, names};
    },
    Err: ({code, message, details}) => ({
      code: code.code,
      message,
      line: details['line'],
    }),
  });
}

Then(
  'a large document gives the same result in parts and as a whole with:',
  (table: DataTable) => {
    for (const {part = '', code} of table.hashes()) {
      const text = documents[part];
      assert.ok(text, part);
      const inParts = outcome(text);
      assert.equal(inParts['code'], Number(code), part);
      assert.deepEqual(inParts, outcome(`${text}${wholeText}`), part);
    }
  },
);
