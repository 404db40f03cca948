import {CALL_ENDS} from './call.js';
import type {Call, CallEnd} from './call.js';
import type {ReadAnswer} from './answer-reader.js';
import type {CallerHandlers} from './caller-connection.js';
import type {FaultEntry, FaultLog} from './fault-log.js';
import type {Machine} from './machine.js';
import {NODE_ENDS} from './soak-node.js';
import type {SoakNode} from './soak-node.js';
import type {Promises} from './promises.js';

const ok = 200;
const noRoute = 404;
/** Statuses that promise that the call has not run and never will. */
const notRunStatuses: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Of these, the ones that say when to return. */
const retryStatuses: ReadonlySet<number> = new Set([429, 503]);
/** Calls this close to the end of their connection may arrive after its last read. */
const atEndMs = 50;
/** Time in which this process sees that another one has ended. */
const seenWithinMs = 500;
/** Faults this long before a call still touch it. */
const beforeMs = 3_000;

/** Faults that make answers whose end is that of their connection. */
const unframedKinds = [
  'upstream broken head',
  'upstream endless',
  'upstream garbled',
  'upstream resetUnframed',
  'upstream unframed',
] as const;

/** What is looked at of a process. */
export type NodeLife = Pick<
  SoakNode,
  'told' | 'startedAt' | 'exitAt' | 'logFile'
>;

/** What is looked at of a machine. */
export interface JudgedMachine extends Pick<Machine, 'at' | 'servers'> {
  readonly nodes: readonly NodeLife[];
}

/** Options of {@link CallJudge}. */
export interface CallJudgeOptions {
  readonly machines: readonly JudgedMachine[];
  readonly log: FaultLog;
  readonly promises: Promises;
  /** There are no faults but planned stops. */
  readonly onlyStops: boolean;
}

/** Compares what callers got with what upstreams ran. */
export class CallJudge {
  readonly #options: CallJudgeOptions;
  readonly #calls = new Map<string, Call>();
  /** Runs of each upstream that were looked at, by its id. */
  readonly #read = new Map<string, number>();

  constructor(options: CallJudgeOptions) {
    this.#options = options;
  }

  readonly handlers: CallerHandlers = {
    onAnswer: (call, answer) => this.#onAnswer(call, answer),
    onEnd: (call, end) => this.#end(call, end),
    onGarbage: (call, message) => {
      this.#options.promises.check('wholeAnswer', false, () => ({
        ...call,
        message,
      }));
    },
  };

  add(call: Call): void {
    this.#calls.set(call.id, call);
  }

  #onAnswer(call: Call, answer: ReadAnswer): void {
    const {promises} = this.#options;
    const {status, headers} = answer;
    this.#end(call, CALL_ENDS.answered);
    call.status = status;
    const id = headers.get('request-id');
    const isOwn = id === undefined ? status !== ok : id === call.id;
    const isWhole = status !== ok || isBodyOf(call, answer);
    promises.check('wholeAnswer', isOwn && isWhole, () => ({
      ...call,
      headers: [...headers],
      body: answer.body.slice(0, 100),
    }));
    if (status === noRoute) {
      promises.check('configForward', false, () => ({...call}));
    }
    if (retryStatuses.has(status)) {
      promises.check('refusalTime', headers.has('retry-after'), () => ({
        ...call,
        headers: [...headers],
      }));
    }
  }

  /** Takes over what upstreams ran since the last time. */
  readRuns(): void {
    for (const {at, servers} of this.#options.machines) {
      for (const {id, runs} of servers) {
        const from = this.#read.get(id) ?? 0;
        this.#read.set(id, runs.length);
        for (const {requestId, bodyBytes} of runs.slice(from)) {
          this.#onRun(at, requestId, bodyBytes);
        }
      }
    }
  }

  /** Judges all calls, once nothing runs any more. */
  finish(): void {
    this.readRuns();
    const {promises, onlyStops} = this.#options;
    for (const call of this.#calls.values()) {
      const {isOnce, ranAt, status} = call;
      const details = () => ({...call});
      promises.note(`${call.end ?? 'open'} ${status > 0 ? status : ''}`.trim());
      if (isOnce) {
        promises.check('runsOnce', ranAt.length <= 1, details);
        const isRefused = notRunStatuses.has(status);
        if (isRefused) promises.check('notRun', ranAt.length === 0, details);
      }
      if (onlyStops && ranAt.length > 0 && call.end !== CALL_ENDS.left) {
        promises.check('plannedStop', status === ok, details);
      }
      this.#judgeEnd(call);
    }
  }

  #end(call: Call, end: CallEnd): void {
    call.end = end;
    call.endAt = performance.now();
  }

  #onRun(at: number, id: string, bodyBytes: number | null): void {
    const call = this.#calls.get(id);
    if (!call) return;
    call.ranAt.push(at);
    if (bodyBytes === null) {
      const where = at === call.entry ? 'near' : 'far';
      const what = call.bodyBytes > 0 ? 'upload' : 'read';
      this.#options.promises.note(`reset at once: ${where} ${what}`);
      return;
    }
    const isWhole = bodyBytes === call.bodyBytes;
    const details = () => ({...call, bodyBytes, ranWith: bodyBytes, at});
    this.#options.promises.check('wholeAnswer', isWhole, details);
  }

  #judgeEnd(call: Call): void {
    const {promises} = this.#options;
    const {end} = call;
    if (end === CALL_ENDS.unsent || end === CALL_ENDS.left) return;
    if (end === CALL_ENDS.answered) {
      promises.check('endExplained', true, () => ({}));
      if (this.#touches(call, ['stop'], 0)) {
        promises.check('plannedStop', true, () => ({}));
      }
      return;
    }
    const node = this.#nodeOf(call);
    const details = () => ({...call, log: node?.logFile});
    if (this.#wasKilled(call)) {
      promises.note('explained: node killed');
      return;
    }
    if (end === CALL_ENDS.behindClose && call.ranAt.length === 0) {
      promises.note('explained: behind a closing answer, not run');
      return;
    }
    if (
      node?.told === NODE_ENDS.stop &&
      this.#touches(call, ['stop'], seenWithinMs)
    ) {
      this.#judgeStop(call, node);
      return;
    }
    if (
      end === CALL_ENDS.behindClose &&
      this.#touchesAny(call, unframedKinds)
    ) {
      promises.note('explained: behind an answer without a length');
      return;
    }
    if (end === CALL_ENDS.cutMidway && this.#touchesPath(call)) {
      promises.note('explained: cut midway beside a fault');
      return;
    }
    promises.check('endExplained', false, details);
  }

  /** Judges a call whose node was stopped and is not known to have answered. */
  #judgeStop(call: Call, node: NodeLife): void {
    const {promises} = this.#options;
    const isLast = call.sentAt >= call.endAt - atEndMs;
    if (call.ranAt.length === 0 && isLast) {
      promises.note('explained: sent as the connection ended, not run');
    } else if (this.#touches(call, ['freeze', 'isolate', 'wire', 'upstream'])) {
      promises.note('explained: stop beside another fault');
    } else {
      promises.check('plannedStop', false, () => ({
        ...call,
        exitAt: node.exitAt,
        log: node.logFile,
      }));
    }
  }

  /** The process that was there when the call was sent. */
  #nodeOf({entry, sentAt}: Call): NodeLife | undefined {
    const machine = this.#options.machines.find(({at}) => at === entry);
    return machine?.nodes.findLast(({startedAt}) => startedAt <= sentAt);
  }

  /** Whether a fault of these kinds touched the entry of a call in its time. */
  #touches(
    {entry, sentAt, endAt}: Call,
    kinds: readonly string[],
    before = beforeMs,
  ): boolean {
    const {log} = this.#options;
    const takes = ({kind, machines}: FaultEntry) =>
      machines.includes(entry) && kinds.some(k => kind.startsWith(k));
    return log.between(sentAt - before, endAt, takes).length > 0;
  }

  /** Whether the process that held the call was killed. */
  #wasKilled({entry, sentAt, endAt}: Call): boolean {
    const machine = this.#options.machines.find(({at}) => at === entry);
    const isIt = ({told, exitAt}: NodeLife) =>
      told === NODE_ENDS.kill &&
      exitAt >= sentAt - seenWithinMs &&
      exitAt <= endAt + seenWithinMs;
    return machine?.nodes.some(isIt) ?? false;
  }

  /** Whether the entry of a call, or a machine that ran it, had a fault. */
  #touchesPath({entry, ranAt, sentAt, endAt}: Call): boolean {
    const path = [entry, ...ranAt];
    const takes = ({machines}: FaultEntry) =>
      machines.some(at => path.includes(at));
    return this.#options.log.between(sentAt, endAt, takes).length > 0;
  }

  /** Whether any machine had a fault of these kinds in the time of a call. */
  #touchesAny({sentAt, endAt}: Call, kinds: readonly string[]): boolean {
    const {log} = this.#options;
    const takes = ({kind, machines}: FaultEntry) =>
      machines.length > 0 && kinds.some(k => kind.startsWith(k));
    return log.between(sentAt - beforeMs, endAt, takes).length > 0;
  }
}

/** Whether an answer has the seal and the body of an upstream for this call. */
function isBodyOf({id}: Call, {headers, body}: ReadAnswer): boolean {
  const seal = headers.get('server-seal') ?? '';
  if (!seal.startsWith('seal-')) return false;
  const by = seal.slice('seal-'.length);
  const text = body.trimEnd();
  const isPadded = !id.includes('long') || body.length > text.length;
  // Answers that end with their connection have no more than the id.
  return (
    text === `body of ${id}` || (text === `body of ${id} by ${by}` && isPadded)
  );
}
