import {seededRandom} from '@verbenabeam/core';
import {CrashQuarantine} from '../crash-quarantine.js';
import type {CrashNotice} from '../crash-notice.js';
import {fingerprintOf} from '../fingerprint.js';
import {Timeline} from './timeline.js';

/** Parts of the quarantine that are active, and the load. */
export interface CrashSetup {
  readonly seed: number;
  readonly quarantine: boolean;
  readonly notices: boolean;
  /** Number of callers that repeat the crashing request. */
  readonly repeaters: number;
}

/** Results of one run. */
export interface CrashFigures {
  readonly crashes: number;
  /** Calls of other requests that were refused with 1609. */
  readonly innocentQuarantined: number;
  readonly innocentBusy: number;
  readonly innocentCalls: number;
}

const nodes = 5;
const noticeMs = 5;
const restartMs = 3000;
const repeatMs = 500;
const crashAfterMs = 5;
const durationMs = 60_000;
const commonPaths = 20;
const rareShare = 0.2;

/** Simulates five nodes with common and rare requests and one that crashes them. */
export function runCrashes(setup: CrashSetup): CrashFigures {
  const rng = seededRandom(setup.seed);
  const time = new Timeline();
  const pool = Array.from({length: nodes}, () => ({
    quarantine: new CrashQuarantine(),
    upAt: 0,
    generation: 0,
  }));
  type Member = (typeof pool)[number];
  const counts = {
    crashes: 0,
    innocentQuarantined: 0,
    innocentBusy: 0,
    innocentCalls: 0,
  };
  let ids = 0;
  const fingerprintOfPath = (path: string) =>
    fingerprintOf({service: 's', method: 'GET', path, body: new Uint8Array()});

  const broadcast = (from: Member, notices: CrashNotice[]) => {
    if (!setup.notices) return;
    for (const member of pool.filter(m => m !== from)) {
      time.after(noticeMs, () => {
        for (const n of notices) {
          broadcast(member, member.quarantine.receive(n, time.now));
        }
      });
    }
  };
  const start = (member: Member, id: string, fingerprint: string) =>
    setup.quarantine
      ? member.quarantine.tryStart(id, fingerprint, time.now)
      : ({kind: 'allowed'} as const);
  const upMember = () => {
    const up = pool.filter(m => m.upAt <= time.now);
    return up.length > 0 ? rng.pick(up) : null;
  };

  const sendInnocent = () => {
    time.after(rng.float() * 2, sendInnocent);
    const member = upMember();
    if (!member) return;
    const id = `i${ids++}`;
    const rare = rng.float() < rareShare;
    const path = rare ? `/rare/${ids}` : `/${rng.below(commonPaths)}`;
    counts.innocentCalls++;
    const decision = start(member, id, fingerprintOfPath(path));
    if (decision.kind === 'refused') {
      const busy = decision.code.name === 'calls.suspectBusy';
      if (busy) counts.innocentBusy++;
      else counts.innocentQuarantined++;
      return;
    }
    const generation = member.generation;
    time.after(5 + rng.float() * 25, () => {
      if (member.generation !== generation) return;
      const notice = member.quarantine.finish(id, true, time.now);
      if (notice) broadcast(member, [notice]);
    });
  };
  const sendCrashing = () => {
    time.after(repeatMs, sendCrashing);
    const member = upMember();
    if (!member) return;
    const decision = start(member, `c${ids++}`, fingerprintOfPath('/crash'));
    const generation = member.generation;
    if (decision.kind === 'refused') return;
    time.after(crashAfterMs, () => {
      if (member.generation !== generation) return;
      counts.crashes++;
      member.generation++;
      member.upAt = time.now + restartMs;
      const crashId = `k${ids++}`;
      broadcast(member, member.quarantine.crashed(crashId, time.now));
    });
  };
  time.after(0, sendInnocent);
  for (let i = 0; i < setup.repeaters; i++) {
    time.after(1000 + (i * repeatMs) / setup.repeaters, sendCrashing);
  }
  time.runUntil(durationMs);
  return counts;
}
