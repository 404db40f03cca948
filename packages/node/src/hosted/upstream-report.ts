import type {MeshError} from '@verbenabeam/core';
import type {Result} from 'true-myth';

/** What an upstream says of itself in a heartbeat. @public */
export interface UpstreamReport {
  /** Identity of the process; a restarted one may keep it. */
  readonly id: string;
  readonly service: string;
  readonly version: string;
  /** `ip:port` */
  readonly address: string;
  /** Calls that it runs at once. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** How long it stays slow after its start, in milliseconds. */
  readonly coldMs: number;
  /** Rises with each heartbeat of one start. */
  readonly sequence: number;
  /** Start of the process in milliseconds since the Unix epoch; 0 if unknown. */
  readonly bornAt: number;
}

/** A call of the upstream to the announcement listener. @public */
export type UpstreamMessage =
  | {readonly kind: 'heartbeat'; readonly report: UpstreamReport}
  | {readonly kind: 'leave'; readonly id: string};

/** Format of the calls that upstreams make to the node beside them. @public */
export interface UpstreamFormat {
  /** Largest body of a call, in bytes. */
  readonly maxBodyBytes: number;
  /** Null for a call that is not known here. Error: 1501. */
  parse(
    method: string,
    path: string,
    body: Uint8Array,
  ): Result<UpstreamMessage | null, MeshError>;
  /** Path of the question whether the node takes calls. */
  readonly readinessPath: string;
}
