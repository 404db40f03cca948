import {documentSchema} from './document-schema.js';
import type {ParsedDocument} from './document-schema.js';
import {findKey, parseToml} from './parse-toml.js';
import {splitText} from './split-text.js';
import type {Turns} from './turns.js';

type Raw = Readonly<Record<string, unknown>>;

/** Keys that the first part must not have, because other parts add to them. */
const sharedKeys = ['services', 'routes', 'moves'] as const;
/** Keys that only one part may have. */
const singleKeys = ['policy', 'callers'] as const;

/**
 * Parses and checks a large document part by part. Returns null for a small
 * document and for any doubt or fault; the caller then parses the whole text,
 * which also finds the line of the fault.
 *
 * @internal
 */
export function* parseInParts(text: string): Turns<ParsedDocument | null> {
  const parts = splitText(text);
  if (parts.length < 2) return null;
  const merger = new PartMerger();
  for (const part of parts) {
    if (!merger.add(part)) return null;
    yield;
  }
  return merger.document;
}

/** Merges the parts of one document. */
class PartMerger {
  #document: ParsedDocument | null = null;

  readonly #seen = new Set<string>();

  get document(): ParsedDocument | null {
    return this.#document;
  }

  /** Adds the next part; false if the whole text must be parsed instead. */
  add(text: string): boolean {
    const raw = parseToml(text);
    if (raw.isErr || findKey(raw.value, '__proto__')) return false;
    const parsed = documentSchema.safeParse(raw.value);
    if (!parsed.success) return false;
    const keys = raw.value as Raw;
    if (!this.#isSingle(keys)) return false;
    const whole = this.#document;
    if (whole) return this.#merge(whole, keys, parsed.data);
    this.#document = parsed.data;
    return sharedKeys.every(key => !Object.hasOwn(keys, key));
  }

  #isSingle(raw: Raw): boolean {
    const found = singleKeys.filter(key => Object.hasOwn(raw, key));
    if (found.some(key => this.#seen.has(key))) return false;
    for (const key of found) this.#seen.add(key);
    return true;
  }

  #merge(whole: ParsedDocument, raw: Raw, part: ParsedDocument): boolean {
    if (Object.hasOwn(raw, 'policy')) whole.policy = part.policy;
    if (Object.hasOwn(raw, 'callers')) whole.callers = part.callers;
    for (const [name, service] of Object.entries(part.services)) {
      if (Object.hasOwn(whole.services, name)) return false;
      whole.services[name] = service;
    }
    whole.routes.push(...part.routes);
    whole.moves.push(...part.moves);
    return true;
  }
}
