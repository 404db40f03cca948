/** States of a node as its peers see it. @public */
export const NODE_STATES = {
  alive: 'alive',
  suspect: 'suspect',
  left: 'left',
  dead: 'dead',
} as const;

/** One of the values of {@link NODE_STATES}. @public */
export type NodeState = (typeof NODE_STATES)[keyof typeof NODE_STATES];

/** States of an upstream as its own node sees it. @public */
export const UPSTREAM_STATES = {
  cold: 'cold',
  ready: 'ready',
  draining: 'draining',
  down: 'down',
} as const;

/** One of the values of {@link UPSTREAM_STATES}. @public */
export type UpstreamState =
  (typeof UPSTREAM_STATES)[keyof typeof UPSTREAM_STATES];

/** The upstream beside a node. @public */
export interface UpstreamRecord {
  readonly service: string;
  readonly version: string;
  readonly state: UpstreamState;
  /** Calls that the upstream runs at once. */
  readonly slots: number;
  /** Calendar time in milliseconds since which it is ready; 0 if it is not. */
  readonly readySince: number;
}

/** What every node knows of a node and the upstream beside it. @public */
export interface InstanceRecord {
  readonly nodeId: string;
  /** Start of the process in milliseconds since the Unix epoch. */
  readonly incarnation: number;
  /** Rises with each change that the node makes to its own record. */
  readonly sequence: number;
  /** Wire address, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly environment: string;
  readonly state: NodeState;
  readonly upstream: UpstreamRecord | null;
  readonly relay: boolean;
  /** Version of the configuration that the node serves; 0 if none. */
  readonly configVersion: number;
}
