/** States of a node, as seen by its peers. @public */
export const NODE_STATES = {
  alive: 'alive',
  suspect: 'suspect',
  left: 'left',
  dead: 'dead',
} as const;

/** One of the values of {@link NODE_STATES}. @public */
export type NodeState = (typeof NODE_STATES)[keyof typeof NODE_STATES];

/** States of an upstream, as seen by its node. @public */
export const UPSTREAM_STATES = {
  cold: 'cold',
  ready: 'ready',
  draining: 'draining',
  down: 'down',
} as const;

/** One of the values of {@link UPSTREAM_STATES}. @public */
export type UpstreamState =
  (typeof UPSTREAM_STATES)[keyof typeof UPSTREAM_STATES];

/** The upstream of a node. @public */
export interface UpstreamRecord {
  readonly service: string;
  readonly version: string;
  readonly state: UpstreamState;
  /** Number of calls that the upstream runs concurrently. */
  readonly slots: number;
  /** Unix time in milliseconds at which it became ready; 0 if it is not. */
  readonly readySince: number;
}

/** Replicated record of a node and its upstream. @public */
export interface InstanceRecord {
  readonly nodeId: string;
  /** Unix time in milliseconds at which the process started. */
  readonly incarnation: number;
  /** Incremented by the node with each change of its own record. */
  readonly sequence: number;
  /** Wire address, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly environment: string;
  readonly state: NodeState;
  readonly upstream: UpstreamRecord | null;
  readonly relay: boolean;
  /** Version of the node's configuration; 0 if it has none. */
  readonly configVersion: number;
}
