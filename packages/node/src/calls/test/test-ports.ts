import {setTimeout as sleep} from 'node:timers/promises';
import {Result} from 'true-myth';
import {CALL_CODES, Invariants, MeshError} from '@verbenabeam/core';
import type {Route, Service, Snapshot} from '@verbenabeam/document';
import type {LoadReport} from '@verbenabeam/routing';
import type {
  ClaimDecision,
  ClaimKey,
  ClaimResult,
  ClaimsPort,
  ConfigPort,
  InstanceChooser,
  Target,
  VersionChoice,
  VersionChooser,
} from '../entry-ports.js';
import type {
  AdmissionDecision,
  AdmissionPort,
  OwnUpstream,
  OwnUpstreamPort,
  LostRequest,
  QuarantinePort,
  StoppedVersions,
  Ticket,
} from '../serving-ports.js';

// Small fakes of the ports, for tests and the overhead benchmark.

const service: Service = {name: 'files', versions: ['v1'], current: 'v1'};

function route(name: string, extra: Partial<Route>): Route {
  return {
    name,
    service,
    host: null,
    pathPrefix: `/${name}`,
    methods: null,
    idempotent: true,
    timeoutMs: 5000,
    idempotencyKey: 'optional',
    ...extra,
  };
}

/** Routes: /read and /crash idempotent, /write not, /keyed with a required key. */
export class FakeConfig implements ConfigPort {
  snapshot: Snapshot | null;

  constructor() {
    const routes = [
      route('read', {}),
      route('write', {idempotent: false}),
      route('keyed', {idempotent: false, idempotencyKey: 'required'}),
      route('crash', {}),
    ];
    const document = {
      text: '',
      hash: '',
      strictness: 'balanced' as const,
      callerClasses: [],
      services: new Map([[service.name, service]]),
      routes,
      moves: [],
    };
    const base = {environment: 'test', hash: '', acceptedAt: 0};
    this.snapshot = {...base, version: 7, document};
  }

  current(): Snapshot | null {
    return this.snapshot;
  }

  match(snapshot: Snapshot, {path}: {path: string}): Route | null {
    const {routes} = snapshot.document;
    return routes.find(r => path.startsWith(r.pathPrefix)) ?? null;
  }
}

/** Picks targets in round-robin order. */
export class FakeInstances implements InstanceChooser {
  targets: Target[] = [];
  readonly ended = () => undefined;
  readonly began = () => undefined;
  #next = 0;

  pick(_s: string, _v: string, exclude: ReadonlySet<string>): Target | null {
    const free = this.targets.filter(t => !exclude.has(t.nodeId));
    return free[this.#next++ % free.length] ?? null;
  }
}

/** Slots with a bounded queue. */
export class FakeAdmission implements AdmissionPort {
  slots = 1000;
  queueLimit = 0;
  /** Routes that only upstreams call. */
  readonly subCallRoutes = new Set<string>();
  #used = 0;
  readonly #queue: ((ticket: Ticket) => void)[] = [];

  enter(): AdmissionDecision {
    if (this.#used < this.slots) {
      return {kind: 'admitted', ticket: this.#ticket()};
    }
    const err = this.announce();
    if (err) return {kind: 'refused', err};
    let granted: (ticket: Ticket) => void = () => undefined;
    const decided = new Promise<Result<Ticket, MeshError>>(resolve => {
      granted = ticket => {
        resolve(Result.ok(ticket));
      };
    });
    this.#queue.push(granted);
    const cancel = () => {
      const at = this.#queue.indexOf(granted);
      if (at >= 0) this.#queue.splice(at, 1);
    };
    return {kind: 'queued', decided, cancel};
  }

  withdraw(): void {
    // This fake does not count announced calls.
  }

  isSubCall(route: string): boolean {
    return this.subCallRoutes.has(route);
  }

  announce(): MeshError | null {
    if (this.#used < this.slots) return null;
    if (this.#queue.length < this.queueLimit) return null;
    return new MeshError(CALL_CODES.queueFull, 'full');
  }

  load(): LoadReport {
    const queued = this.#queue.length;
    return {inFlight: this.#used, queued, slots: this.slots, serviceMs: 1};
  }

  #ticket(): Ticket {
    this.#used++;
    let isReleased = false;
    const leave = () => {
      if (isReleased) throw new Error('a ticket was left twice');
      isReleased = true;
      this.#used--;
      const next = this.#queue.shift();
      if (next) next(this.#ticket());
    };
    return {release: leave, onResponseHead: () => undefined};
  }
}

/** Chooses the versions that a test sets, in order. */
export class FakeVersions implements VersionChooser, StoppedVersions {
  /** Versions of the next calls; the last one is repeated. */
  next = ['v1'];
  stopped: string[] = [];
  readonly sent = new Set<string>();

  choose(): VersionChoice {
    const [version = 'v1'] = this.next;
    if (this.next.length > 1) this.next.shift();
    return {version, moveId: null};
  }

  onSent(_service: string, version: string): void {
    this.sent.add(version);
  }

  isStopped(_service: string, version: string): boolean {
    return this.stopped.includes(version);
  }
}

/** Records crashes, and admits every request unless `refusal` is set. */
export class FakeQuarantine implements QuarantinePort {
  /** If set, every request is refused with this error. */
  refusal: MeshError | null = null;
  readonly crashes: string[][] = [];
  readonly ended = () => undefined;

  get active(): boolean {
    return this.refusal !== null;
  }

  admit(): MeshError | null {
    return this.refusal;
  }

  crashed(lost: readonly LostRequest[]): void {
    this.crashes.push(lost.map(request => request.fingerprint));
  }
}

/** The local upstream, whose state a test sets. */
export class FakeUpstream implements OwnUpstreamPort {
  own: OwnUpstream | null = null;

  current(): OwnUpstream | null {
    return this.own;
  }

  markDown(): void {
    if (this.own) this.own = {...this.own, state: 'down'};
  }
}

/** Claims in memory. */
export class FakeClaims implements ClaimsPort {
  readonly results = new Map<string, ClaimResult | null>();
  /** If set, `begin` returns this instead of its own decision. */
  forced: Result<ClaimDecision, MeshError> | null = null;
  /** Delay before `begin` returns, in ms. */
  delayMs = 0;

  async begin(claim: ClaimKey): Promise<Result<ClaimDecision, MeshError>> {
    if (this.delayMs > 0) await sleep(this.delayMs);
    return this.forced ?? this.#decide(claim);
  }

  #decide({key}: ClaimKey): Result<ClaimDecision, MeshError> {
    const known = this.results.get(key);
    if (known === undefined || known?.kind === 'notRun') {
      this.results.set(key, null);
      return Result.ok({kind: 'granted'});
    }
    if (known === null) return Result.ok({kind: 'inProgress'});
    if (known.kind === 'unknown') {
      return Result.ok({kind: 'unknown'});
    }
    const {answer} = known as Extract<ClaimResult, {kind: 'answered'}>;
    return Result.ok({kind: 'finished', answer});
  }

  finish({key}: ClaimKey, result: ClaimResult): void {
    this.results.set(key, result);
  }
}

/** Invariants that collect violations, so that a scenario can print them. */
export function collectingInvariants(broken: string[]): Invariants {
  const invariants = new Invariants(false);
  invariants.onBroken((code, details) => {
    broken.push(`${code.name} ${JSON.stringify(details)}`);
  });
  return invariants;
}
