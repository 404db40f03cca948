/** Bytes of a response up to the end of its head, with informational heads. */
const maxHeadBytes = 32_768;
/** Bytes of a response after its head, until body bytes add to them. */
const maxBodyOverheadBytes = 16_384;
/** A chunk of one byte has five bytes beside it; longer ones have fewer. */
const overheadPerBodyByte = 8;
/** Most bytes of a status line with the empty lines before it. */
const maxStatusLineBytes = 2_048;
/** Most fields of a head, with those of the informational heads before it. */
const maxFields = 256;
/** The parser keeps two objects for each field until the end of the head. */
const headPieceBytes = 4_096;
/** Lines after a head that the parser gets at once: they may be fields of a trailer. */
const maxPieceLines = 64;
const bodyPieceBytes = 16_384;
/** Where the status begins in its line, after "HTTP/1.1 ". */
const statusOffset = 9;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const digitOne = 0x31;

/**
 * Limits what the responses of a connection have beside their bodies. The parser of
 * undici limits the names and values of fields in bytes only, counts nothing else, and
 * after its limit goes on to the end of the piece that it was given. So it gets small
 * pieces where there is no body, and none once a response exceeds a limit.
 */
export class ResponseMeter {
  /** Bytes that may follow before the next byte of a body. */
  #overheadLeft = maxHeadBytes;
  #fields = 0;
  /** Line ends of the last piece; those of a piece with bytes of the body are none. */
  #pieceFields = 0;
  /** Bytes of the last piece behind the end of a head. */
  #bytesAfterHead = 0;
  #isInHead = true;
  #isChunked = false;
  /** Bytes of the current line, with those of its end. */
  #lineBytes = 0;
  /** Whether the current line is a status line or an empty line before one. */
  #isStatusLine = true;
  #statusLineBytes = 0;
  #isInformational = false;

  get isInChunkedBody(): boolean {
    return !this.#isInHead && this.#isChunked;
  }

  /** Largest piece for the parser, in bytes. */
  get pieceBytes(): number {
    return this.isInChunkedBody ? headPieceBytes : bodyPieceBytes;
  }

  /** Why the response must not be read on; null if it may. */
  get excess(): string | null {
    if (this.#overheadLeft < 0) {
      const most = this.#isInHead ? maxHeadBytes : maxBodyOverheadBytes;
      return `The response has over ${most} bytes without a body`;
    }
    if (this.#statusLineBytes > maxStatusLineBytes)
      return `The response has a status line of over ${maxStatusLineBytes} bytes`;
    if (this.#fields > maxFields)
      return `The response has over ${maxFields} fields`;
    return null;
  }

  /** Counts a piece before the parser gets it; returns how many bytes it may get. */
  onPiece(piece: Uint8Array): number {
    const bytes = this.#countLines(piece);
    this.#overheadLeft -= bytes - this.#bytesAfterHead;
    return bytes;
  }

  /** The parser has read the last piece: without a body its lines were fields. */
  onPieceParsed(): void {
    this.#fields += this.#pieceFields;
    this.#overheadLeft -= this.#bytesAfterHead;
    this.#pieceFields = this.#bytesAfterHead = 0;
  }

  /** Takes back bytes that the parser did not read. */
  onUnread(bytes: number): void {
    this.#overheadLeft += bytes;
  }

  /** The last piece ended the head of a final response. */
  onHead(isChunked: boolean): void {
    this.#isInHead = false;
    this.#isChunked = isChunked;
    this.#fields = this.#pieceFields = this.#statusLineBytes = 0;
    this.#overheadLeft = maxBodyOverheadBytes - this.#bytesAfterHead;
    this.#bytesAfterHead = 0;
  }

  /** The last piece held bytes of the body. */
  onBody(bytes: number): void {
    this.#fields = this.#pieceFields = 0;
    this.#overheadLeft = Math.min(
      maxBodyOverheadBytes,
      this.#overheadLeft + bytes * (1 + overheadPerBodyByte),
    );
  }

  /** The response has ended; another one may follow on the connection. */
  onEnd(): void {
    this.#overheadLeft = maxHeadBytes;
    this.#fields = this.#pieceFields = this.#bytesAfterHead = 0;
    this.#lineBytes = this.#statusLineBytes = 0;
    this.#isInHead = this.#isStatusLine = true;
    this.#isChunked = this.#isInformational = false;
  }

  #countLines(piece: Uint8Array): number {
    if (this.#isInHead) return this.#countHead(piece);
    if (!this.#isChunked) return piece.length;
    const {lines, end} = takeLines(piece, 0);
    this.#pieceFields = lines;
    return end;
  }

  /** Only a piece with the end of a final head may be longer than `headPieceBytes`. */
  #countHead(piece: Uint8Array): number {
    const first =
      piece.length > headPieceBytes ? piece.subarray(0, headPieceBytes) : piece;
    const headEnd = this.#countHeadLines(first);
    if (headEnd === null) return first.length;
    const {end} = takeLines(piece, headEnd);
    this.#bytesAfterHead = end - headEnd;
    return end;
  }

  /**
   * Counts lines up to the empty one that ends a final head, after which a body may
   * follow. Returns its end; null if the piece does not hold it.
   */
  #countHeadLines(piece: Uint8Array): number | null {
    let at = 0;
    while (at < piece.length) {
      const end = piece.indexOf(lineFeed, at);
      const next = end < 0 ? piece.length : end + 1;
      if (this.#isStatusLine) this.#readStatusLine(piece, at, next);
      this.#lineBytes += next - at;
      at = next;
      if (end < 0 || this.excess !== null) return null;
      const before = end > 0 ? piece[end - 1] : carriageReturn;
      const isEmpty =
        this.#lineBytes === 1 ||
        (this.#lineBytes === 2 && before === carriageReturn);
      this.#lineBytes = 0;
      if (!isEmpty) this.#endLine();
      else if (!this.#isStatusLine && !this.#endHead()) return at;
    }
    return null;
  }

  #readStatusLine(piece: Uint8Array, at: number, next: number): void {
    this.#statusLineBytes += next - at;
    const status = at + statusOffset - this.#lineBytes;
    if (status < at || status >= next) return;
    this.#isInformational = piece[status] === digitOne;
  }

  #endLine(): void {
    if (this.#isStatusLine) {
      this.#isStatusLine = false;
      this.#statusLineBytes = 0;
    } else this.#fields++;
  }

  /** Returns whether another head follows. */
  #endHead(): boolean {
    if (!this.#isInformational) return false;
    this.#isStatusLine = true;
    this.#isInformational = false;
    return true;
  }
}

/** The lines from a place in a piece on that the parser gets at once. */
function takeLines(
  piece: Uint8Array,
  from: number,
): {lines: number; end: number} {
  let at = from;
  for (let lines = 0; lines < maxPieceLines; lines++) {
    const end = piece.indexOf(lineFeed, at);
    if (end < 0) return {lines, end: piece.length};
    at = end + 1;
  }
  return {lines: maxPieceLines, end: at};
}
