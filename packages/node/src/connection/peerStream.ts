// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A stream of messages between two nodes, whatever carries it. */

/** Events of a stream; there are none after `cancel`. */
export interface PeerStreamHandlers {
  readonly onMessage: (message: Buffer) => void;
  /** The other end has sent its last message. */
  readonly onEnd: () => void;
  /**
   * The stream broke before both ends had ended it. `wasSent` is false when
   * nothing that was written can have been received.
   */
  readonly onError: (wasSent: boolean) => void;
  /** All earlier writes were sent; follows a write that returned false. */
  readonly onDrain: () => void;
}

/** One end of a stream. */
export interface PeerStream {
  /** Sets the handlers, before the event-loop turn that opened it is over. */
  readonly handle: (handlers: PeerStreamHandlers) => void;
  /**
   * Sends a message. Returns false when the writer should pause until onDrain.
   * After the end of the stream, messages are dropped.
   */
  readonly write: (message: Buffer) => boolean;
  /** Delivers no messages until resume; the other end is slowed down. */
  readonly pause: () => void;
  readonly resume: () => void;
  /** Sends no more messages; those of the other end are still received. */
  readonly end: () => void;
  /** Ends the stream in both directions; the other end sees it break. */
  readonly cancel: () => void;
  /**
   * Closes the connection since a message of the other end is malformed; the
   * stream breaks at both ends.
   */
  readonly reject: () => void;
}

/** Returns a stream to a peer that cannot be reached; it fails at once. */
export function unreachableStream(): PeerStream {
  let isCancelled = false;
  return {
    handle: ({onError}) =>
      process.nextTick(() => {
        if (!isCancelled) {
          onError(false);
        }
      }),
    write: () => true,
    pause: () => undefined,
    resume: () => undefined,
    end: () => undefined,
    cancel: () => {
      isCancelled = true;
    },
    reject: () => undefined,
  };
}
