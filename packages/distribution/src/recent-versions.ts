import {hashText} from '@verbenabeam/core';
import {smallDelta} from '@verbenabeam/document';
import type {Delta, Snapshot} from '@verbenabeam/document';
import type {ConfigContent, VersionContent} from './messages/config-content.js';

/** Peers that are further behind get the full text. */
const maxVersions = 8;
/** Keeps eight texts of 1 MB from filling the memory of a node. */
const maxCharacters = 4_000_000;
/** A delta above this share of the text saves too little to risk a mismatch. */
const maxDeltaShare = 0.5;
/** Bounds the time to find a delta and to check it, to about 30 ms each. */
const maxDeltaSteps = 4_000;
/** Estimated bytes of a copy step on the wire. */
const copyStepBytes = 12;

/** Keeps recent texts and makes the smallest content for a peer. @internal */
export class RecentVersions {
  #kept: readonly Snapshot[] = [];
  readonly #deltas = new Map<string, ConfigContent | null>();

  /** Adds the version that has become active. */
  add(snapshot: Snapshot): void {
    this.#deltas.clear();
    const kept = [...this.#kept, snapshot].slice(-maxVersions);
    while (kept.length > 1 && countCharacters(kept) > maxCharacters) {
      kept.shift();
    }
    this.#kept = kept;
  }

  /** The active version with the smallest content for an unknown receiver. */
  describeForPush(snapshot: Snapshot): VersionContent {
    const previous = this.#kept.at(-2);
    const small = previous && this.deltaFrom(previous);
    return describe(snapshot, small ?? fullText(snapshot));
  }

  /** Returns null if no small delta from this base can be made. */
  deltaFrom(have: {version: number; hash: string}): ConfigContent | null {
    const key = `${have.version}/${have.hash}`;
    const known = this.#deltas.get(key);
    if (known !== undefined) return known;
    const content = this.#makeDelta(have);
    this.#deltas.set(key, content);
    return content;
  }

  #makeDelta(have: {version: number; hash: string}): ConfigContent | null {
    const base = this.#kept.find(
      row => row.version === have.version && row.hash === have.hash,
    );
    const active = this.#kept.at(-1);
    if (!base || !active) return null;
    const {text} = active.document;
    const change = smallDelta(base.document.text, text, maxDeltaSteps);
    if (!change || estimateBytes(change) > text.length * maxDeltaShare)
      return null;
    return {base: base.version, delta: mutableDelta(change)};
  }
}

/** A version with its content as it travels between nodes. @internal */
export function describe(
  snapshot: Snapshot,
  content: VersionContent['content'],
): VersionContent {
  const {environment, version, hash, acceptedAt} = snapshot;
  return {environment, version, hash, acceptedAt, content};
}

/** The whole text of a version as content. @internal */
export function fullText(snapshot: Snapshot): ConfigContent {
  const {text} = snapshot.document;
  return {text, textHash: hashText(text)};
}

function mutableDelta(change: Delta) {
  return {...change, steps: [...change.steps]};
}

function estimateBytes(change: Delta): number {
  const sizes = change.steps.map(step =>
    typeof step === 'string' ? step.length : copyStepBytes,
  );
  return sizes.reduce((sum, size) => sum + size, 0);
}

function countCharacters(kept: readonly Snapshot[]): number {
  return kept.reduce((sum, row) => sum + row.document.text.length, 0);
}
