/** Bytes of a response without its body, until body bytes add to them. */
const maxOverheadBytes = 32_768;
/** A chunk of one byte has five bytes beside it; longer ones have fewer. */
const overheadPerBodyByte = 8;
/** Most fields of a head, with those of the informational heads before it. */
const maxFields = 256;
/** The parser keeps two objects for each field until the end of the head. */
const headPieceBytes = 4_096;
const bodyPieceBytes = 16_384;
const lineFeed = 0x0a;
const carriageReturn = 0x0d;

/**
 * Limits what the responses of a connection have beside their bodies. The parser of
 * undici limits the names and values of fields in bytes only, counts nothing else, and
 * after its limit goes on to the end of the piece that it was given. So it gets small
 * pieces where there is no body, and none once a response exceeds a limit.
 */
export class ResponseMeter {
  /** Bytes that may follow before the next byte of a body. */
  #overheadLeft = maxOverheadBytes;
  #fields = 0;
  /** Line ends of the last piece; those of a piece with bytes of the body are none. */
  #pieceFields = 0;
  #isInHead = true;
  #isChunked = false;
  /** Bytes of the current line but its end. */
  #lineBytes = 0;

  /** Largest piece for the parser, in bytes. */
  get pieceBytes(): number {
    return this.#isInHead || this.#isChunked ? headPieceBytes : bodyPieceBytes;
  }

  /** Why the response must not be read on; null if it may. */
  get excess(): string | null {
    if (this.#overheadLeft < 0) {
      return `The response has over ${maxOverheadBytes} bytes without a body`;
    }
    if (this.#fields > maxFields)
      return `The response has over ${maxFields} fields`;
    return null;
  }

  /** Counts a piece before the parser gets it. */
  onPiece(piece: Uint8Array): void {
    this.#overheadLeft -= piece.length;
    if (this.#isInHead) this.#fields += this.#countHeadLines(piece);
    else if (this.#isChunked) this.#pieceFields = countLineFeeds(piece);
  }

  /** The parser has read the last piece: without a body its lines were fields. */
  onPieceParsed(): void {
    this.#fields += this.#pieceFields;
    this.#pieceFields = 0;
  }

  /** Takes back bytes that the parser did not read. */
  onUnread(bytes: number): void {
    this.#overheadLeft += bytes;
  }

  /** The last piece ended the head of a final response. */
  onHead(isChunked: boolean): void {
    this.#isInHead = false;
    this.#isChunked = isChunked;
    this.#fields = this.#pieceFields = 0;
  }

  /** The last piece held bytes of the body. */
  onBody(bytes: number): void {
    this.#fields = this.#pieceFields = 0;
    this.#overheadLeft = Math.min(
      maxOverheadBytes,
      this.#overheadLeft + bytes * (1 + overheadPerBodyByte),
    );
  }

  /** The response has ended; another one may follow on the connection. */
  onEnd(): void {
    this.#overheadLeft = maxOverheadBytes;
    this.#fields = this.#pieceFields = this.#lineBytes = 0;
    this.#isInHead = true;
    this.#isChunked = false;
  }

  /** Counts lines up to the empty one that ends a head: a body may follow it. */
  #countHeadLines(piece: Uint8Array): number {
    let lines = 0;
    for (const byte of piece) {
      if (byte === lineFeed) {
        const isEmpty = this.#lineBytes === 0;
        this.#lineBytes = 0;
        if (isEmpty && this.#fields + lines > 0) return lines;
        if (!isEmpty) lines++;
      } else if (byte !== carriageReturn) this.#lineBytes++;
    }
    return lines;
  }
}

function countLineFeeds(piece: Uint8Array): number {
  let count = 0;
  let at = piece.indexOf(lineFeed);
  while (at >= 0) {
    count++;
    at = piece.indexOf(lineFeed, at + 1);
  }
  return count;
}
