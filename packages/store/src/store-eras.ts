import {logger} from '@verbenabeam/core';
import {MAX_ERA} from './store-position.js';

/** What one answer says of the era: null without a word, NaN if unreadable. @public */
export type ToldEra = number | null;

/** What a client knows of the store's eras. @public */
export interface EraView {
  /** 0 if the store has none. */
  readonly era: number;
  /** Eras that began while the client ran. */
  readonly begun: number;
  /** Answers of an older era than one already seen. */
  readonly dropped: number;
}

/** Source of the eras of a store. @public */
export interface EraSource {
  readonly view: EraView;
  /** Adds a listener for each era that begins, with the one before. */
  onChange(listener: (era: number, before: number) => void): void;
}

/** What becomes of an answer. @public */
export const ERA_VERDICTS = {
  current: 'current',
  /** Of an older era: it changes nothing. */
  old: 'old',
  /** Of a later era that no other answer has shown yet. */
  unconfirmed: 'unconfirmed',
} as const;

/** One of the values of {@link ERA_VERDICTS}. @public */
export type EraVerdict = (typeof ERA_VERDICTS)[keyof typeof ERA_VERDICTS];

const log = logger('store');

/**
 * The era of a store as its answers tell it. A later era begins with the second answer
 * that shows it, since one false answer would take the store's true ones out of use.
 *
 * @public
 */
export class StoreEras implements EraSource {
  readonly #listeners: ((era: number, before: number) => void)[] = [];
  #view: EraView = {era: 0, begun: 0, dropped: 0};
  #isKnown = false;
  /** A later era that one answer has shown. */
  #unconfirmed: number | null = null;
  /** What the last logged answer told; null after an answer of this era. */
  #oddity: string | null = null;

  get view(): EraView {
    return this.#view;
  }

  get era(): number {
    return this.#view.era;
  }

  onChange(listener: (era: number, before: number) => void): void {
    this.#listeners.push(listener);
  }

  /**
   * Takes what an answer tells.
   *
   * @param sentIn - Era when the call was sent: an answer without one is of it.
   */
  observe(told: ToldEra, sentIn: number): EraVerdict {
    const isReadable = told !== null && isEra(told);
    if (!isReadable && (this.#isKnown || told !== null)) {
      this.#logOnce('Answer of the store tells no era.', told);
    }
    const era = isReadable ? told : sentIn;
    if (era < this.era) return this.#onOld(era);
    if (isReadable) this.#onReadable(era);
    return era === this.era ? ERA_VERDICTS.current : ERA_VERDICTS.unconfirmed;
  }

  #onReadable(told: number): void {
    if (told === this.era) {
      this.#isKnown = true;
      this.#unconfirmed = null;
      this.#oddity = null;
    } else if (this.#isKnown && told !== this.#unconfirmed) {
      this.#unconfirmed = told;
    } else {
      this.#begin(told);
    }
  }

  #begin(era: number): void {
    const before = this.era;
    const isFirst = !this.#isKnown;
    this.#isKnown = true;
    this.#unconfirmed = null;
    this.#view = {...this.#view, era};
    if (isFirst) return;
    this.#view = {...this.#view, begun: this.#view.begun + 1};
    if (era > before + 1) {
      log('Era of the store rose by more than one.', {era, before});
    }
    for (const listener of this.#listeners) listener(era, before);
  }

  #onOld(era: number): EraVerdict {
    this.#view = {...this.#view, dropped: this.#view.dropped + 1};
    this.#logOnce('Answer of an older era of the store dropped.', era);
    return ERA_VERDICTS.old;
  }

  /** Logs the first of equal answers in a row. */
  #logOnce(sentence: string, told: ToldEra): void {
    const oddity = `${sentence} ${told}`;
    if (oddity === this.#oddity) return;
    this.#oddity = oddity;
    log(sentence, {told: String(told), era: this.era});
  }
}

function isEra(told: number): boolean {
  return Number.isInteger(told) && told >= 0 && told <= MAX_ERA;
}
