/** Bounds that the platform sets. Times in milliseconds. @public */
export interface HostedBounds {
  /** From SIGTERM to SIGKILL. */
  readonly graceMs: number;
  /** Repeated requests per request of a service. */
  readonly retryShare: number;
  /** Repeated requests that are always allowed. */
  readonly retryMinimum: number;
  /** Share of a service's requests that a bad version may get. */
  readonly canaryShare: number;
  /** Requests that a bad version may get beyond its share. */
  readonly canarySlack: number;
}

/** Settings of a node whose configuration the platform keeps. @public */
export interface HostedSettings {
  readonly nodeId: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Service of the upstream beside the node. */
  readonly service: string;
  /** `ip:port` of the upstream beside the node. */
  readonly upstreamAddress: string;
  readonly listen: {
    /** For callers on this machine. */
    readonly callers: string;
    /** For the other nodes. */
    readonly wire: string;
    /** For questions whether the node takes calls. */
    readonly readiness: string;
    /** For the announcements of the upstream. */
    readonly announcements: string;
    /** For metrics; null serves none. */
    readonly metrics: string | null;
  };
  /** Wire addresses of nodes, beside those that the store names. */
  readonly seeds: readonly string[];
  readonly heartbeatMs: number;
  readonly maxDescriptors: number;
  readonly bounds: HostedBounds;
  readonly store: {
    /** `ip:port` */
    readonly address: string;
    /** Reading calls per second of all nodes together. */
    readonly readsPerSecond: number;
    /** Shortest lease that the store grants. */
    readonly minLeaseMs: number;
  };
}
