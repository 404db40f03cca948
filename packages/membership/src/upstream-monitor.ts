import {describeIssue, MEMBERSHIP_CODES, MeshError} from '@verbenabeam/core';
import {Result} from 'true-myth';
import {announcementSchema} from './announcement.js';
import type {Announcement} from './announcement.js';
import {UPSTREAM_STATES} from './instance-record.js';
import type {UpstreamRecord, UpstreamState} from './instance-record.js';

/** Options of {@link UpstreamMonitor}. @public */
export interface UpstreamMonitorOptions {
  /** Time in milliseconds without announcements until down; default 3,000. */
  readonly silenceMs?: number;
}

/** Called with the new record after each change of the upstream. @public */
export type UpstreamListener = (record: UpstreamRecord) => void;

const defaultSilenceMs = 3000;

/** Tracks the state of a node's upstream from its announcements. @public */
export class UpstreamMonitor {
  readonly #silenceMs: number;
  readonly #listeners: UpstreamListener[] = [];
  #record: UpstreamRecord | null = null;
  #address: string | null = null;
  #lastAnnouncementAt = -Infinity;
  #leavingAt = -Infinity;
  #leavingProcess: string | undefined;

  constructor(options: UpstreamMonitorOptions = {}) {
    this.#silenceMs = options.silenceMs ?? defaultSilenceMs;
  }

  /** Null until the first announcement. */
  get record(): UpstreamRecord | null {
    return this.#record;
  }

  /** Address of the upstream, `ip:port`. */
  get address(): string | null {
    return this.#address;
  }

  onChange(listener: UpstreamListener): void {
    this.#listeners.push(listener);
  }

  /**
   * Handles the body of `POST /announce`.
   *
   * @param wallTime - Unix time in milliseconds, for `readySince`.
   * @returns Error 1501 with the first issue of a malformed body.
   */
  announce(
    body: unknown,
    now: number,
    wallTime: number,
  ): Result<UpstreamRecord, MeshError> {
    const parsed = announcementSchema.safeParse(body);
    if (!parsed.success) {
      const text = `announcement ${describeIssue(parsed.error)}`;
      const err = new MeshError(MEMBERSHIP_CODES.invalidAnnouncement, text);
      return Result.err(err);
    }
    this.#lastAnnouncementAt = now;
    this.#address = parsed.data.address;
    if (parsed.data.state === 'leaving') {
      this.#leavingAt = now;
      this.#leavingProcess = parsed.data.process;
    }
    return Result.ok(this.#set(this.#recordOf(parsed.data, now, wallTime)));
  }

  /** Marks a silent upstream down. To be called about once a second. */
  tick(now: number): void {
    if (now - this.#lastAnnouncementAt >= this.#silenceMs) this.markDown();
  }

  /** Marks the upstream down, for example after a connection reset. */
  markDown(): void {
    const record = this.#record;
    if (!record || record.state === UPSTREAM_STATES.down) return;
    this.#set({...record, state: UPSTREAM_STATES.down, readySince: 0});
  }

  #recordOf(
    announcement: Announcement,
    now: number,
    wallTime: number,
  ): UpstreamRecord {
    const {service, version, slots} = announcement;
    const state = this.#stateOf(announcement, now);
    const before = this.#record;
    const isSame =
      before?.state === UPSTREAM_STATES.ready &&
      before.service === service &&
      before.version === version;
    const since = isSame ? before.readySince : wallTime;
    const readySince = state === UPSTREAM_STATES.ready ? since : 0;
    return {service, version, slots, state, readySince};
  }

  /**
   * An announcement that was sent before `leaving` but arrives later must not
   * make the upstream ready again. Announcements of a new process are accepted
   * `silenceMs` after the last `leaving`, or at once if `process` differs.
   */
  #stateOf(announcement: Announcement, now: number): UpstreamState {
    const {state, process} = announcement;
    if (state === 'leaving') return UPSTREAM_STATES.draining;
    const isOther = process !== undefined && process !== this.#leavingProcess;
    if (isOther) return state;
    const mayBeLate =
      this.#record?.state === UPSTREAM_STATES.draining &&
      now - this.#leavingAt < this.#silenceMs;
    return mayBeLate ? UPSTREAM_STATES.draining : state;
  }

  #set(record: UpstreamRecord): UpstreamRecord {
    const isChanged = JSON.stringify(record) !== JSON.stringify(this.#record);
    this.#record = record;
    if (isChanged) for (const listener of this.#listeners) listener(record);
    return record;
  }
}
