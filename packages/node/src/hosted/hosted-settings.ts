/** Limits that the platform sets. Times are in milliseconds. @public */
export interface HostedBounds {
  /** Time between SIGTERM and SIGKILL. */
  readonly graceMs: number;
  /** Retries allowed per request of a service. */
  readonly retryShare: number;
  /** Retries that are always allowed. */
  readonly retryMinimum: number;
  /** Share of a service's requests that a bad version may receive. */
  readonly canaryShare: number;
  /** Requests that a bad version may receive beyond its share. */
  readonly canarySlack: number;
}

/** Settings of a {@link HostedNode}. @public */
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
    /** For readiness checks. */
    readonly readiness: string;
    /** For heartbeats of the upstream. */
    readonly announcements: string;
    /** For metrics; null disables them. */
    readonly metrics: string | null;
  };
  /** Wire addresses of nodes, in addition to those in the store. */
  readonly seeds: readonly string[];
  readonly heartbeatMs: number;
  readonly maxDescriptors: number;
  readonly bounds: HostedBounds;
  readonly store: {
    /** `ip:port` */
    readonly address: string;
    /** Read calls per second that all nodes together may make. */
    readonly readsPerSecond: number;
    /** Shortest lease that the store grants. */
    readonly minLeaseMs: number;
  };
}
