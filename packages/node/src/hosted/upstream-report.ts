import type {MeshError} from '@verbenabeam/core';
import type {Result} from 'true-myth';

/** Contents of a heartbeat of an upstream. @public */
export interface UpstreamReport {
  /** Identity of the process; a restarted one may keep it. */
  readonly id: string;
  readonly service: string;
  readonly version: string;
  /** `ip:port` */
  readonly address: string;
  /** Calls that it runs concurrently. */
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time of its slow start, in milliseconds. */
  readonly coldMs: number;
  /** Increases with each heartbeat since its start. */
  readonly sequence: number;
  /** Start of the process, in milliseconds since the Unix epoch; 0 if unknown. */
  readonly bornAt: number;
}

/** A message of the upstream to the announcement listener. @public */
export type UpstreamMessage =
  | {readonly kind: 'heartbeat'; readonly report: UpstreamReport}
  | {readonly kind: 'leave'; readonly id: string};

/** Format of the messages of an upstream to the node beside it. @public */
export interface UpstreamFormat {
  /** Largest body of a message, in bytes. */
  readonly maxBodyBytes: number;
  /** Null for an unknown method or path. Error: 1501. */
  parse(
    method: string,
    path: string,
    body: Uint8Array,
  ): Result<UpstreamMessage | null, MeshError>;
  /** Path of readiness checks. */
  readonly readinessPath: string;
  /** Header in which an upstream that serves names itself at its health path. */
  readonly healthIdHeader: string;
}
