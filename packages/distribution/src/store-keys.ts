const prefix = '/verbenabeam';
/** Zero padding keeps the key order of versions numeric. */
const versionDigits = 10;

/** Keys of section 3.3 of the design page that distribution uses. @public */
export const STORE_KEYS = {
  head: (environment: string) => `${prefix}/env/${environment}/head`,
  version: (environment: string, version: number) =>
    `${prefix}/env/${environment}/versions/${pad(version)}`,
  /** Metadata without the text, so that the history is cheap to read. */
  history: (environment: string, version: number) =>
    `${prefix}/env/${environment}/history/${pad(version)}`,
  moves: (environment: string) => `${prefix}/env/${environment}/moves/`,
  /** Environments share data centres, so each has its own slots. */
  relay: (dataCentre: string, environment: string, slot: number) =>
    `${prefix}/dc/${dataCentre}/relays/${environment}/${slot}`,
} as const;

function pad(version: number): string {
  return String(version).padStart(versionDigits, '0');
}
