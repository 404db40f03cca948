/**
 * Line numbers of keys in a TOML text. The TOML parser reports lines only for
 * syntax errors, so refusals by meaning need this index.
 */

/** Path of a value in the parsed document. @public */
export type ValuePath = readonly (string | number)[];

const firstLine = 1;

/**
 * Maps paths of a valid TOML text to line numbers. Values inside inline tables
 * and nested arrays report the line of the nearest indexed parent.
 *
 * @internal
 */
export class SourceLines {
  readonly #lines = new Map<string, number>();
  readonly #arrayLengths = new Map<string, number>();
  readonly #text: string;
  #at = 0;
  #line = firstLine;
  #table: ValuePath = [];

  constructor(text: string) {
    this.#text = text;
    while (this.#skipToStatement()) this.#readStatement();
  }

  /** Returns the line of the value or of its nearest indexed parent. */
  lineOf(path: ValuePath): number {
    for (let length = path.length; length > 0; length--) {
      const line = this.#lines.get(pathKey(path.slice(0, length)));
      if (line !== undefined) return line;
    }
    return firstLine;
  }

  #skipToStatement(): boolean {
    while (this.#at < this.#text.length) {
      const char = this.#text.charAt(this.#at);
      if (char === '#') this.#skipComment();
      else if (/\s/.test(char)) this.#step();
      else return true;
    }
    return false;
  }

  #readStatement(): void {
    if (this.#text[this.#at] === '[') this.#readHeader();
    else this.#readPair();
  }

  #readHeader(): void {
    const line = this.#line;
    const isArray = this.#text.startsWith('[[', this.#at);
    this.#skip(isArray ? 2 : 1);
    const keys = this.#readKeys(']');
    this.#skip(isArray ? 2 : 1);
    this.#table = isArray ? this.#nextElement(keys) : this.#resolve(keys);
    this.#record(this.#table, line);
  }

  #readPair(): void {
    const line = this.#line;
    const keys = this.#readKeys('=');
    this.#skip(1);
    for (let length = 1; length <= keys.length; length++) {
      this.#record([...this.#table, ...keys.slice(0, length)], line);
    }
    this.#skipValue([...this.#table, ...keys]);
  }

  /** Reads a dotted key up to the end character. */
  #readKeys(end: string): string[] {
    const keys: string[] = [];
    let bare = '';
    while (this.#at < this.#text.length && this.#text[this.#at] !== end) {
      const char = this.#text.charAt(this.#at);
      if (char === '"' || char === "'") bare = this.#readQuotedKey(char);
      else if (char === '.') bare = finishKey(keys, bare);
      else if (!/\s/.test(char)) bare += char;
      if (char !== '"' && char !== "'") this.#step();
    }
    finishKey(keys, bare);
    return keys;
  }

  #readQuotedKey(quote: string): string {
    const start = this.#at;
    this.#skipString(quote);
    const raw = this.#text.slice(start, this.#at);
    return quote === '"' ? unescapeKey(raw) : raw.slice(1, -1);
  }

  /** Skips one value; it ends at a line end outside brackets and strings. */
  #skipValue(path: ValuePath): void {
    const elements = new ElementCounter();
    while (this.#at < this.#text.length) {
      const char = this.#text.charAt(this.#at);
      if (char === '\n' && elements.depth === 0) return;
      if (char === '#') {
        this.#skipComment();
        continue;
      }
      const started = elements.read(char);
      if (started !== null) this.#record([...path, started], this.#line);
      if (char === '"' || char === "'") this.#skipString(char);
      else this.#step();
    }
  }

  #skipString(quote: string): void {
    const long = quote.repeat(3);
    const end = this.#text.startsWith(long, this.#at) ? long : quote;
    this.#skip(end.length);
    while (this.#at < this.#text.length) {
      if (this.#text.startsWith(end, this.#at)) break;
      if (quote === '"' && this.#text[this.#at] === '\\') this.#step();
      this.#step();
    }
    this.#skip(end.length);
    // A long string may end with up to two quotes of its own.
    while (end === long && this.#text[this.#at] === quote) this.#step();
  }

  #skipComment(): void {
    const end = this.#text.indexOf('\n', this.#at);
    this.#at = end < 0 ? this.#text.length : end;
  }

  #skip(count: number): void {
    for (let i = 0; i < count; i++) this.#step();
  }

  #step(): void {
    if (this.#text[this.#at] === '\n') this.#line++;
    this.#at++;
  }

  #nextElement(keys: readonly string[]): ValuePath {
    const last = keys.at(-1) ?? '';
    const path = [...this.#resolve(keys.slice(0, -1)), last];
    const index = this.#arrayLengths.get(pathKey(path)) ?? 0;
    this.#arrayLengths.set(pathKey(path), index + 1);
    return [...path, index];
  }

  /** A key that names an array of tables means its last element. */
  #resolve(keys: readonly string[]): ValuePath {
    let path: ValuePath = [];
    for (const key of keys) {
      path = [...path, key];
      const length = this.#arrayLengths.get(pathKey(path));
      if (length !== undefined) path = [...path, length - 1];
    }
    return path;
  }

  #record(path: ValuePath, line: number): void {
    const key = pathKey(path);
    if (!this.#lines.has(key)) this.#lines.set(key, line);
  }
}

/** Follows the elements of an array while its characters are read. */
class ElementCounter {
  depth = 0;
  #index = 0;
  #expected = false;
  #inArray = false;

  /** Returns the index of the element that starts here, or null. */
  read(char: string): number | null {
    if (char === ']' || char === '}') return this.#close();
    const starts = this.#expected && /\S/.test(char) && char !== ',';
    if (starts) this.#expected = false;
    const index = starts ? this.#index : null;
    if (char === '[' || char === '{') this.#open(char);
    if (char === ',' && this.depth === 1) this.#next();
    return index;
  }

  #open(char: string): void {
    if (this.depth === 0) this.#inArray = char === '[';
    if (this.depth === 0) this.#expected = this.#inArray;
    this.depth++;
  }

  #close(): null {
    this.depth--;
    return null;
  }

  #next(): void {
    this.#index++;
    this.#expected = this.#inArray;
  }
}

function pathKey(path: ValuePath): string {
  return JSON.stringify(path);
}

function finishKey(keys: string[], key: string): string {
  keys.push(key);
  return '';
}

/** TOML adds \\e, \\x and \\U to the escapes of JSON; those stay as written. */
function unescapeKey(raw: string): string {
  try {
    return JSON.parse(raw) as string;
  } catch {
    return raw.slice(1, -1);
  }
}
