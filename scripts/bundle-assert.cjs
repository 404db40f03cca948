/**
 * Assertions of the libraries in the bundle. For the text of one that fails without a
 * message, Node.js reads the source file and parses it at the place of the call. In the
 * long lines of a bundle that takes seconds, in which the process does nothing else.
 */
const assert = require('node:assert');

function ok(value, message) {
  if (value) return;
  if (message instanceof Error) throw message;
  throw new assert.AssertionError({
    message: message ?? 'The value of an assertion is falsy',
    actual: value,
    expected: true,
    operator: '==',
    stackStartFn: ok,
  });
}

const strict = Object.assign((value, message) => ok(value, message), {
  ...assert.strict,
  ok,
});

module.exports = Object.assign(ok, assert, {ok, strict});
