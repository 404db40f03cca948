/** An answer as it was read from a connection. */
export interface ReadAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
}

const headEnd = '\r\n\r\n';
const lineEnd = '\r\n';
const statusLine = /^HTTP\/1\.1 (\d{3})( |$)/;
const firstFinalStatus = 200;
const hexRadix = 16;

/**
 * Reads answers from the bytes of a connection, strictly: what is no answer throws.
 * Libraries hide where one answer ends and the next begins.
 */
export class AnswerReader {
  #bytes = Buffer.alloc(0);
  #head: Omit<ReadAnswer, 'body'> | null = null;

  /** Whether an answer has begun. */
  get hasBegun(): boolean {
    return this.#head !== null || this.#bytes.length > 0;
  }

  /** Bytes that are held. */
  get size(): number {
    return this.#bytes.length;
  }

  push(piece: Buffer): void {
    this.#bytes = Buffer.concat([this.#bytes, piece]);
  }

  /** The next whole answer; null if more bytes are needed. */
  next(): ReadAnswer | null {
    while (!this.#head) {
      const head = this.#takeHead();
      if (!head) return null;
      if (head.status >= firstFinalStatus) this.#head = head;
    }
    const body = this.#takeBody(this.#head.headers);
    return body === null ? null : this.#finish(body);
  }

  /** The answer that the end of the connection completes, or null. */
  end(): ReadAnswer | null {
    const {headers} = this.#head ?? {};
    if (!headers || headers.has('content-length')) return null;
    if (headers.has('transfer-encoding')) return null;
    return this.#finish(this.#take(this.#bytes.length));
  }

  #finish(body: string): ReadAnswer {
    const head = this.#head;
    if (!head) throw new Error('no head was read');
    this.#head = null;
    return {...head, body};
  }

  #takeHead(): Omit<ReadAnswer, 'body'> | null {
    const end = this.#bytes.indexOf(headEnd);
    const start = this.#bytes.subarray(0, 'HTTP/1.1 '.length).toString();
    if (!'HTTP/1.1 '.startsWith(start)) throw new Error(`no answer: ${start}`);
    if (end < 0) return null;
    const [first = '', ...lines] = this.#take(end).split(lineEnd);
    this.#take(headEnd.length);
    const status = Number(statusLine.exec(first)?.[1]);
    if (!status) throw new Error(`no status line: ${first}`);
    const headers = new Map<string, string>();
    for (const line of lines) {
      const colon = line.indexOf(':');
      if (colon < 1) throw new Error(`no header: ${line}`);
      const name = line.slice(0, colon).toLowerCase();
      headers.set(name, line.slice(colon + 1).trim());
    }
    return {status, headers};
  }

  /** Null until the body is whole. */
  #takeBody(headers: ReadonlyMap<string, string>): string | null {
    if (headers.get('transfer-encoding') === 'chunked') {
      return this.#takeChunks();
    }
    const length = headers.get('content-length');
    if (length === undefined || this.#bytes.length < Number(length)) {
      return null;
    }
    return this.#take(Number(length));
  }

  #takeChunks(): string | null {
    let at = 0;
    let body = '';
    for (;;) {
      const end = this.#bytes.indexOf(lineEnd, at);
      if (end < 0) return null;
      const line = this.#bytes.toString('latin1', at, end);
      if (!/^[0-9a-f]+$/i.test(line)) throw new Error(`no chunk: ${line}`);
      const size = parseInt(line, hexRadix);
      const from = end + lineEnd.length;
      const next = from + size + lineEnd.length;
      if (this.#bytes.length < next) return null;
      body += this.#bytes.toString('latin1', from, from + size);
      at = next;
      if (size > 0) continue;
      this.#take(at);
      return body;
    }
  }

  #take(length: number): string {
    const text = this.#bytes.toString('latin1', 0, length);
    this.#bytes = this.#bytes.subarray(length);
    return text;
  }
}
