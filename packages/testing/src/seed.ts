const defaultSeed = 1;

/**
 * Returns the seed of the test run from `VERBENABEAM_SEED`, or 1.
 *
 * @public
 */
export function testSeed(): number {
  return Number(process.env['VERBENABEAM_SEED'] ?? defaultSeed);
}
