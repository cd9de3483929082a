// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Checks the status lines of one answer and of the interim ones before it, of
 * which undici accepts any status, some other versions and any reason, but no 100
 * that was not asked for, which HTTP allows (RFC 9110, section 15.2).
 */

/** Far more than an upstream sends to show that it works on a call. */
const MAXIMUM_INTERIM_ANSWERS = 100;

const MAXIMUM_STATUS_LINE_BYTES = 8 * 1024;

const LINE_FEED = 0x0a;

/** RFC 9112, section 4, with the statuses of RFC 9110, section 15. */
const STATUS_LINE =
  /^HTTP\/1\.[01] [1-5]\d\d(?:[\t ][\t\x20-\x7e\x80-\xff]*)?$/;

const INTERIM_LINE = /^.{9}1/;

const CONTINUE_STATUS = '100';

/** Where the status stands in its line. */
const STATUS_START = 9;
const STATUS_END = 12;

/** Last digit of 102, which undici passes over. */
const PROCESSING_DIGIT = 0x32;

/** What a connection has received since a request was sent on it. */
export class StatusLines {
  private part: 'status-line' | 'interim-fields' | 'rest' = 'status-line';
  /** The beginning of a line that is not complete. */
  private line = '';
  private interimAnswers = 0;

  /**
   * Returns false once the bytes are no beginning of an answer. Makes a status of
   * 100 one of 102 in the bytes.
   */
  accept(bytes: Buffer): boolean {
    let at = 0;
    while (this.part !== 'rest' && at < bytes.length) {
      const feed = bytes.indexOf(LINE_FEED, at);
      const end = feed === -1 ? bytes.length : feed;
      const before = this.line.length;
      const room = MAXIMUM_STATUS_LINE_BYTES + 1 - before;
      this.line += bytes.toString('latin1', at, Math.min(end, at + room));
      if (before < STATUS_END && this.isContinue) {
        bytes[at + STATUS_END - 1 - before] = PROCESSING_DIGIT;
      }
      at = end + 1;
      if (this.isTooLong || (feed !== -1 && !this.acceptLine())) {
        return false;
      }
    }
    return true;
  }

  private get isContinue(): boolean {
    return (
      this.part === 'status-line' &&
      this.line.slice(STATUS_START, STATUS_END) === CONTINUE_STATUS
    );
  }

  private get isTooLong(): boolean {
    return (
      this.part === 'status-line' &&
      this.line.length > MAXIMUM_STATUS_LINE_BYTES
    );
  }

  private acceptLine(): boolean {
    const line = this.line.endsWith('\r') ? this.line.slice(0, -1) : this.line;
    this.line = '';
    if (line === '') {
      // Some upstreams send an empty line behind an answer.
      this.part = 'status-line';
      return true;
    }
    if (this.part === 'interim-fields') {
      return true;
    }
    const isInterim = INTERIM_LINE.test(line);
    this.part = isInterim ? 'interim-fields' : 'rest';
    this.interimAnswers += isInterim ? 1 : 0;
    return (
      STATUS_LINE.test(line) && this.interimAnswers <= MAXIMUM_INTERIM_ANSWERS
    );
  }
}
