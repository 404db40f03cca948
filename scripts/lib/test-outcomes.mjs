/**
 * Reads the messages of a cucumber run.
 *
 * A scenario passes if its last attempt ran to its end without a step that did not
 * pass. A run that ends early, by a crash for example, leaves scenarios that failed.
 *
 * @param {string[]} lines - One message in JSON each; a crash may cut the last one.
 * @returns {{outcomes: {name: string, passed: boolean}[], hasEnded: boolean}}
 */
export function readTestRun(lines) {
  const pickles = new Map();
  const cases = new Map();
  const attempts = new Map();
  const passedById = new Map();
  let hasEnded = false;
  for (const line of lines) {
    const msg = parse(line);
    if (msg === null) break;
    if (msg.pickle) pickles.set(msg.pickle.id, msg.pickle.name);
    if (msg.testCase) cases.set(msg.testCase.id, msg.testCase.pickleId);
    if (msg.testCaseStarted) {
      const {id, testCaseId} = msg.testCaseStarted;
      attempts.set(id, {testCaseId, hasFailed: false});
      passedById.set(testCaseId, false);
    }
    if (msg.testStepFinished) {
      const {testCaseStartedId, testStepResult} = msg.testStepFinished;
      if (testStepResult.status !== 'PASSED')
        attempts.get(testCaseStartedId).hasFailed = true;
    }
    if (msg.testCaseFinished) {
      const {testCaseStartedId} = msg.testCaseFinished;
      const {testCaseId, hasFailed} = attempts.get(testCaseStartedId);
      passedById.set(testCaseId, !hasFailed);
    }
    if (msg.testRunFinished) hasEnded = true;
  }
  const outcomes = [...cases].map(([id, pickleId]) => ({
    name: pickles.get(pickleId),
    passed: passedById.get(id) ?? false,
  }));
  return {outcomes, hasEnded};
}

function parse(line) {
  try {
    return JSON.parse(line);
  } catch {
    return null;
  }
}
