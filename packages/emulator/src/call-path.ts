import {CALL_CODES} from '@verbenabeam/core';
import type {RandomSource} from '@verbenabeam/core';
import {
  CALL_OUTCOMES,
  Deadline,
  THROTTLE_OUTCOMES,
  throttleGroup,
} from '@verbenabeam/routing';
import type {
  AdmissionDecision,
  CallOutcome,
  ThrottleOutcome,
} from '@verbenabeam/routing';
import {beginCall, CALL_ENDS, noStop} from './emulated-call.js';
import type {CallEnd, EmulatedCall, NewCall} from './emulated-call.js';
import type {EmulatedNode} from './emulated-node.js';
import type {Fleet} from './fleet.js';
import {mayRetry} from './may-retry.js';
import type {Timeline} from './timeline.js';
import type {Troubles} from './troubles.js';
import {isLost} from './try.js';
import type {Try} from './try.js';
import {scattered, subCallsOf} from './upstream-work.js';

/** What a {@link CallPath} works with. @internal */
export interface CallPathOptions {
  readonly fleet: Fleet;
  readonly timeline: Timeline;
  readonly random: RandomSource;
  readonly troubles: Troubles;
  /** Called with the wait of each call that got a slot. */
  readonly onWaited: (route: string, ms: number) => void;
}

/** Time to return while no instance has named one, in ms. */
const defaultRetryAfterMs = 50;
const version = 'v1';

/** The way of a call: entry node, instance, upstream, and back. @internal */
export class CallPath {
  readonly #options: CallPathOptions;
  /** Tries that wait for a slot or hold one, by the id of the call. */
  readonly #tries = new Map<string, Try>();
  #subCalls = 0;

  constructor(options: CallPathOptions) {
    this.#options = options;
    for (const node of options.fleet.nodes) {
      node.onDecisions = decisions => this.#carryOut(node, decisions);
    }
  }

  /** Starts a call at its entry node. */
  start(begun: NewCall): void {
    const call = beginCall(begun);
    const {timeline} = this.#options;
    timeline.at(call.deadlineAt, () => {
      const {stop} = call;
      this.#end(call, CALL_ENDS.failed, 0, THROTTLE_OUTCOMES.accepted);
      stop();
    });
    call.entry.processor.run('refusal', () => {
      if (!call.isOver) this.#decide(call);
    });
  }

  /** What the entry node decides once it has read the call. */
  #decide(call: EmulatedCall): void {
    const {entry, key, deadlineAt, kind} = call;
    const {now} = this.#options.timeline;
    const attempt = {key, endsAt: deadlineAt};
    const waitedMs = entry.returning?.msSinceFirstAttempt(attempt, now) ?? 0;
    const group = throttleGroup(kind.route, waitedMs);
    const turnedAway = entry.throttle?.rejectionFor(group, now);
    if (turnedAway) {
      const {refused} = THROTTLE_OUTCOMES;
      this.#end(call, CALL_ENDS.refused, turnedAway.retryAfterMs, refused);
      return;
    }
    call.group = group;
    entry.retries.recordCall(kind.service);
    this.#try(call, waitedMs);
  }

  #try(call: EmulatedCall, waitedMs: number): void {
    const {timeline, random, fleet} = this.#options;
    const {entry, kind, tried, deadlineAt, targetAt} = call;
    const {now} = timeline;
    const leftMs = deadlineAt - now;
    const picked = entry.picker.pick(
      kind.service,
      version,
      fleet.candidates(kind.service),
      now,
      random,
      tried,
      {
        route: kind.route,
        targetMs: Math.min(leftMs, targetAt - now),
        ...(tried.size > 0 ? {maxCostMs: leftMs} : {}),
      },
    );
    const target = picked.isOk && fleet.node(picked.value.nodeId);
    if (!target) {
      const {unknown} = THROTTLE_OUTCOMES;
      this.#end(call, CALL_ENDS.refused, defaultRetryAfterMs, unknown);
      return;
    }
    tried.add(target.place.nodeId);
    const tryOne: Try = {
      call,
      target,
      sentAt: now,
      processes: [entry.processor.process, target.processor.process],
      enteredAt: now,
      startedAt: now,
    };
    entry.processor.run('rest', () => {
      timeline.after(fleet.linkMs(entry, target), () => {
        if (call.isOver) return;
        if (!target.isUp || !target.isUpstreamUp) {
          this.#refusedBy(tryOne, CALL_OUTCOMES.unreachable, 0, waitedMs);
          return;
        }
        target.processor.run('refusal', () => this.#enter(tryOne, waitedMs));
      });
    });
  }

  /** The call asks for a slot of its instance. */
  #enter(tryOne: Try, waitedMs: number): void {
    const {call, target} = tryOne;
    if (call.isOver) return;
    const {now} = this.#options.timeline;
    tryOne.enteredAt = now;
    this.#tries.set(call.id, tryOne);
    const decision = target.queue.tryAdmit(
      {
        id: call.id,
        route: call.kind.route,
        priority: call.kind.priority,
        isSubCall: call.isSubCall,
        targetAt: call.targetAt - waitedMs,
        deadline: new Deadline(call.deadlineAt),
      },
      now,
    );
    call.stop = () => {
      this.#tries.delete(call.id);
      target.queue.cancel(call.id);
    };
    this.#carryOut(target, [decision]);
    target.watchQueue();
  }

  #carryOut(
    target: EmulatedNode,
    decisions: readonly AdmissionDecision[],
  ): void {
    const {timeline, fleet} = this.#options;
    for (const decision of decisions) {
      const tryOne = this.#tries.get(decision.callId);
      if (!tryOne) continue;
      if (decision.kind === 'admitted') this.#work(tryOne);
      else if (decision.kind === 'refused') {
        this.#tries.delete(decision.callId);
        const {refused} = CALL_OUTCOMES;
        const told = decision.retryAfterMs ?? defaultRetryAfterMs;
        const linkMs = fleet.linkMs(target, tryOne.call.entry);
        const isFinal = decision.code === CALL_CODES.deadlineTooClose;
        timeline.after(linkMs, () =>
          this.#refusedBy(tryOne, refused, told, 0, isFinal),
        );
      }
    }
  }

  /** The upstream works, makes its calls in turn, and works on. */
  #work(tryOne: Try): void {
    const {timeline, random, troubles, onWaited} = this.#options;
    const {call, target} = tryOne;
    tryOne.startedAt = timeline.now;
    onWaited(call.kind.route, timeline.now - tryOne.enteredAt);
    const {work_ms, spread} = call.kind;
    const slowBy = troubles.slowBy(target.place.nodeId);
    const workMs = scattered(work_ms, spread, random);
    const tookMs = (workMs * slowBy) / target.place.speed;
    const routes = subCallsOf(call.kind, random);
    const partMs = tookMs / (routes.length + 1);
    call.stop = () => this.#free(tryOne, null);
    // It takes processor time, but the work does not wait for it.
    target.processor.run('rest', noStop);
    const next = () => {
      if (call.isOver) return;
      const route = routes.shift();
      if (route === undefined) this.#answer(tryOne);
      else {
        this.#subCall(tryOne, route, end => {
          if (call.isOver) return;
          if (end === CALL_ENDS.answered) timeline.after(partMs, next);
          else this.#fail(tryOne);
        });
      }
    };
    timeline.after(partMs, next);
  }

  #subCall(parent: Try, route: string, done: (end: CallEnd) => void): void {
    const {fleet, timeline} = this.#options;
    const kind = fleet.kind(route);
    if (!kind) return;
    const {now} = timeline;
    const id = `${parent.call.id}/${this.#subCalls++}`;
    this.start({
      id,
      kind,
      entry: parent.target,
      isSubCall: true,
      key: id,
      targetAt: now + kind.target_ms,
      deadlineAt: Math.min(now + kind.deadline_ms, parent.call.deadlineAt),
      done,
    });
  }

  #answer(tryOne: Try): void {
    const {timeline, fleet} = this.#options;
    const {call, target} = tryOne;
    this.#free(tryOne, timeline.now - tryOne.startedAt);
    call.stop = noStop;
    timeline.after(fleet.linkMs(target, call.entry), () => {
      if (call.isOver) return;
      const {accepted} = THROTTLE_OUTCOMES;
      if (isLost(tryOne)) {
        this.#end(call, CALL_ENDS.failed, 0, accepted);
        return;
      }
      this.#report(tryOne, CALL_OUTCOMES.ok);
      this.#end(call, CALL_ENDS.answered, 0, accepted);
    });
  }

  #fail(tryOne: Try): void {
    this.#free(tryOne, null);
    this.#report(tryOne, CALL_OUTCOMES.failed);
    const {accepted} = THROTTLE_OUTCOMES;
    this.#end(tryOne.call, CALL_ENDS.failed, 0, accepted);
  }

  /** Gives the slot back and fills it. */
  #free(tryOne: Try, serviceMs: number | null): void {
    const {call, target} = tryOne;
    if (!this.#tries.delete(call.id)) return;
    const {now} = this.#options.timeline;
    target.slotMs += now - tryOne.startedAt;
    this.#carryOut(target, target.queue.finish(call.id, now, serviceMs));
  }

  #refusedBy(
    tryOne: Try,
    outcome: CallOutcome,
    retryAfterMs: number,
    waitedMs: number,
    isFinal = false,
  ): void {
    const {call} = tryOne;
    if (call.isOver) return;
    call.stop = noStop;
    this.#report(tryOne, outcome);
    if (!isFinal && mayRetry(call, this.#options.timeline.now)) {
      this.#try(call, waitedMs);
      return;
    }
    const isLoad = outcome === CALL_OUTCOMES.refused;
    const counted: ThrottleOutcome = isLoad ? 'refused' : 'unknown';
    this.#end(call, CALL_ENDS.refused, retryAfterMs, counted);
  }

  #report({call, target, sentAt}: Try, outcome: CallOutcome): void {
    const {now} = this.#options.timeline;
    call.entry.picker.report(
      {
        nodeId: target.place.nodeId,
        outcome,
        route: call.kind.route,
        latencyMs: now - sentAt,
        load: target.queue.report(),
      },
      now,
    );
  }

  #end(
    call: EmulatedCall,
    end: CallEnd,
    retryAfterMs: number,
    counted: ThrottleOutcome,
  ): void {
    if (call.isOver) return;
    call.isOver = true;
    const {now} = this.#options.timeline;
    const {entry, key, deadlineAt, group} = call;
    const told = end === CALL_ENDS.refused ? retryAfterMs : undefined;
    if (group !== null)
      entry.throttle?.recordOutcome(group, counted, now, told);
    if (end !== CALL_ENDS.answered) {
      const attempt = {key, endsAt: deadlineAt};
      const waitedMs = entry.returning?.msSinceFirstAttempt(attempt, now) ?? 0;
      entry.returning?.recordFailure(attempt, now - waitedMs, now);
    }
    const spread = 1 + this.#options.random.float();
    call.done(end, retryAfterMs * spread);
  }
}
