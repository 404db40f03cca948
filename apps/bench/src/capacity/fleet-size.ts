/** Size of a fleet, from section 1.3 of docs/design.md. @public */
export interface FleetSize {
  readonly servers: number;
  readonly services: number;
  readonly callsPerSecond: number;
  readonly dataCentres: number;
  readonly changesPerDay: number;
  readonly restartsPerDay: number;
  readonly failuresPerDay: number;
  /** Not given by the page; the sizes 10 KB to 1 MB are measured. */
  readonly documentBytes: number;
  /** Section 5: about 20 nodes of a rack are lost together. */
  readonly rackServers: number;
}

/** The size expected within two years. @public */
export const FULL_SIZE: FleetSize = {
  servers: 1_300,
  services: 53,
  callsPerSecond: 400_000,
  dataCentres: 7,
  changesPerDay: 3_700,
  restartsPerDay: 450,
  failuresPerDay: 2,
  documentBytes: 100_000,
  rackServers: 20,
};
