import {setImmediate as nextTurn} from 'node:timers/promises';
import {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import {compile, compileInTurns} from '@verbenabeam/document';
import type {CompiledDocument, Pause} from '@verbenabeam/document';

/** Options of {@link CompileAhead}. @public */
export interface CompileAheadOptions {
  /** Smaller texts compile within a few milliseconds. Default 32,768. */
  readonly minCharacters?: number;
  /** Wait between the turns. Default: the next turn of the event loop. */
  readonly pause?: Pause;
}

const defaultMinCharacters = 32_768;
/** Documents of 1 MB in use at once: one to apply and one that overtakes it. */
const maxKept = 2;

/**
 * Compiles large documents in several turns of the event loop before the
 * `VersionTracker` is offered them, and keeps the results for it, so that each
 * text is compiled once and a node answers calls and probes meanwhile.
 *
 * @public
 */
export class CompileAhead {
  readonly #minCharacters: number;
  readonly #pause: Pause;
  readonly #running = new Map<string, Promise<void>>();
  #kept: readonly CompiledDocument[] = [];

  constructor(options: CompileAheadOptions = {}) {
    this.#minCharacters = options.minCharacters ?? defaultMinCharacters;
    this.#pause = options.pause ?? nextTurn;
  }

  /** True if a text of this length is to be compiled ahead. */
  isLarge(characters: number): boolean {
    return characters >= this.#minCharacters;
  }

  /** The compiler of the tracker: returns a kept result or compiles at once. */
  readonly compile = (text: string): Result<CompiledDocument, MeshError> => {
    const kept = this.#kept.find(row => row.text === text);
    return kept ? Result.ok(kept) : compile(text);
  };

  /** Keeps a document that was compiled elsewhere. */
  keep(document: CompiledDocument): void {
    const others = this.#kept.filter(row => row.text !== document.text);
    this.#kept = [...others, document].slice(-maxKept);
  }

  /** Compiles a large text unless its result is kept. */
  async prepare(text: string): Promise<void> {
    if (!this.isLarge(text.length)) return;
    if (this.#kept.some(row => row.text === text)) return;
    const running = this.#running.get(text) ?? this.#compile(text);
    this.#running.set(text, running);
    await running;
  }

  async #compile(text: string): Promise<void> {
    // What was forwarded is sent before the compilation begins.
    await this.#pause();
    const compiled = await compileInTurns(text, this.#pause);
    this.#running.delete(text);
    // The tracker compiles a faulty text again to report its fault.
    if (compiled.isOk) this.keep(compiled.value);
  }
}
