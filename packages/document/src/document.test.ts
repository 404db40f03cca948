import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import fc from 'fast-check';
import {matchSnapshot, testSeed} from '@verbenabeam/testing';
import {
  applyDelta,
  checkDeadlines,
  compile,
  delta,
  diff,
  findRoute,
} from './index.js';
import {compareRoutes} from './route-order.js';

const owner = 'packages/document';
const example = `
[policy]
strictness = "careful"

[callers]
classes = [
  "lessor", "records"] # two of them

# """ a quote in a comment must not start a string
[services."core.api"]
versions = ['v1']
current = 'v1'

[services.redelivery]
versions = ["v1",
  "v2" # [
]
current = "v1"
[[routes]]
name = "redelivery-file"
service = "redelivery" # route
host = "Redelivery.internal"
path_prefix = "/redelivery/files"
methods = ["GET"]
idempotent = true
timeout = "2s"
idempotency_key = "required"

[[moves]]
id = "redelivery-v2"
service = "redelivery" # move
to = "v2"
start = 2026-12-04T10:00:00Z
deadline = 2026-12-04T12:00:00Z
# second move
`;

let text = '';

function compiled(source = text) {
  const res = compile(source);
  assert.ok(res.isOk, res.isErr ? res.error.message : '');
  return res.value;
}

function edit(source: string, old: string, next: string) {
  assert.ok(source.includes(old), `no ${old}`);
  return source.replace(old, next);
}

Given('the example document', () => {
  text = example;
});

// {string} does not take cells with quotes or line feeds.
When(/^the document text "(.*)" becomes "(.*)"$/s, rewrite);

function rewrite(old: string, next: string) {
  text = edit(text, old, next);
}

Then('the document compiles', () => {
  compiled();
});

Then('the document compiles to the stored snapshot', () => {
  const rest = {...compiled(), text: undefined};
  matchSnapshot(rest, {owner, name: 'example document'});
});

Then('every reference of the compiled document is resolved and frozen', () => {
  const doc = compiled();
  for (const row of [...doc.routes, ...doc.moves]) {
    assert.equal(row.service, doc.services.get(row.service.name));
    assert.ok(Object.isFrozen(row) && Object.isFrozen(row.service));
  }
});

Then(
  'the document is refused with code {int} at line {int}',
  (code: number, line: number) => {
    const res = compile(text);
    assert.ok(res.isErr, 'compiled');
    const {details, message} = res.error;
    assert.deepEqual(
      {code: res.error.code.code, line: details['line']},
      {code, line},
      message,
    );
  },
);

Then(
  'a document of {int} bytes is refused with code {int}',
  (bytes: number, code: number) => {
    const res = compile('#'.padEnd(bytes, 'x'));
    assert.equal(res.isErr && res.error.code.code, code);
  },
);

Then('a document of {int} bytes compiles', (bytes: number) => {
  compiled('#'.padEnd(bytes, 'x'));
});

Then('the document hash ignores comments, order and units', () => {
  const other = edit(text, '"2s"', '"2000ms"')
    .replaceAll(/ # .*$/gm, '')
    .replace('"lessor", "records"', '"records", "lessor"');
  assert.equal(compiled(other).hash, compiled().hash);
});

Then('the document hash changes with each changed value', () => {
  const edits = [
    ['"careful"', '"fast"'],
    ['"records"', '"files"'],
    ['"2s"', '"3s"'],
    ['["GET"]', '["PUT"]'],
    ['idempotent = true', 'idempotent = false'],
    ['/redelivery/files', '/redelivery/file'],
    ['"required"', '"optional"'],
    ['T12:00', 'T13:00'],
    ['T10:00', 'T09:00'],
    ['Redelivery.internal', 'other.internal'],
  ] as const;
  const hashes = edits.map(([a, b]) => compiled(edit(text, a, b)).hash);
  assert.equal(new Set([compiled().hash, ...hashes]).size, edits.length + 1);
});

Then(
  'the document deadline check at {string} refuses code {int} at line {int}',
  (time: string, code: number, line: number) => {
    const res = checkDeadlines(compiled(), Date.parse(time));
    assert.ok(res.isErr);
    assert.equal(res.error.code.code, code);
    assert.equal(res.error.details['line'], line);
  },
);

Then('the document deadline check at {string} passes', (time: string) => {
  assert.ok(checkDeadlines(compiled(), Date.parse(time)).isOk);
});

Then('the document diff to its edited form matches the stored snapshot', () => {
  let next = edit(text, '"2s"', '"250ms"');
  next = edit(next, 'redelivery-file', 'file');
  next = edit(next, 'T12:00', 'T13:00');
  matchSnapshot(diff(compiled(), compiled(next)), {owner, name: 'diff'});
});

const segment = fc.constantFrom('a', 'b', 'ab');
const pathArb = fc
  .tuple(fc.array(segment, {maxLength: 4}), fc.boolean())
  .map(([parts, slash]) => `/${parts.join('/')}${slash ? '/' : ''}`);
const hostArb = fc.constantFrom('x.test', 'y.test');
const methodArb = fc.constantFrom('GET', 'POST');
const routesArb = fc.array(
  fc.record({
    host: fc.option(hostArb),
    prefix: pathArb,
    methods: fc.option(fc.uniqueArray(methodArb, {minLength: 1})),
  }),
  {maxLength: 30},
);

Then(
  'the document route index agrees with a linear search on random routes',
  () => {
    const property = fc.property(
      routesArb,
      fc.record({host: hostArb, path: pathArb, method: methodArb}),
      (routes, query) => {
        const doc = compiled(routesText(routes));
        const expected = [...doc.routes]
          .sort(compareRoutes)
          .find(
            r =>
              (r.host === null || r.host === query.host) &&
              (r.methods === null || r.methods.includes(query.method)) &&
              (query.path === r.pathPrefix ||
                query.path.startsWith(r.pathPrefix.replace(/\/?$/, '/'))),
          );
        const sent = {...query, host: `${query.host}:80`};
        assert.equal(findRoute({document: doc}, sent), expected ?? null);
      },
    );
    fc.assert(property, {seed: testSeed(), numRuns: 300});
  },
);

Then('the document route prefix matches whole path segments', () => {
  const document = compiled();
  const host = 'REDELIVERY.internal:8080';
  const find = (path: string) =>
    findRoute({document}, {host, path, method: 'GET'})?.name;
  assert.equal(find('/redelivery/files?x=/1'), 'redelivery-file');
  assert.equal(find('/redelivery/files/7'), 'redelivery-file');
  assert.equal(find('/redelivery/filesystem'), undefined);
});

function routesText(
  routes: readonly {
    host: string | null;
    prefix: string;
    methods: string[] | null;
  }[],
) {
  const rows = routes.map(
    (r, i) =>
      `[[routes]]\nname = "r${i}"\nservice = "s"\n` +
      `path_prefix = "${r.prefix}"\n` +
      (r.host ? `host = "${r.host}"\n` : '') +
      (r.methods ? `methods = ${JSON.stringify(r.methods)}\n` : ''),
  );
  return `[services.s]\nversions=["v1"]\ncurrent="v1"\n${rows.join('')}`;
}

const lineArb = fc.constantFrom('', 'a', 'b', 'c', 'current = "v1"', 'd\r');
const textArb = fc.array(lineArb, {maxLength: 40}).map(l => l.join('\n'));

Then('the document delta of random texts yields the target text', () => {
  const property = fc.property(textArb, textArb, (from, to) => {
    const res = applyDelta(from, delta(from, to));
    assert.equal(res.isOk && res.value, to);
  });
  fc.assert(property, {seed: testSeed(), numRuns: 2_000});
});

Then(
  'the document delta is refused for another base with code {int}',
  (code: number) => {
    const res = applyDelta(`${example}#`, delta(example, 'x'));
    assert.equal(res.isErr && res.error.code.code, code);
  },
);

Then(
  'the document delta is refused when its steps are damaged with code {int}',
  (code: number) => {
    const good = delta(example, `${example}# end`);
    for (const steps of [[], [[0, 3]], [[0, 999]], [[-1, 2]], ['x']] as const) {
      const res = applyDelta(example, {...good, steps});
      assert.equal(res.isErr && res.error.code.code, code);
    }
  },
);
