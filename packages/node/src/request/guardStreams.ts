// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Serves exchanges that use a connection of their own. */

import type {PeerStream} from '../connection/peerStream.js';
import type {BeginExchange, Exchange, ExchangeHandlers} from './exchange.js';
import {decodeFrame, encodeFrame} from './frames.js';

/** Serves one exchange; the first frame of its stream is the call. */
export function serveGuardStream(
  stream: PeerStream,
  begin: BeginExchange,
): void {
  let exchange: Exchange | undefined;
  let isOver = false;
  // Whether the upstream has asked for the body.
  let isAsked = false;
  const markAsked = (): void => {
    isAsked = true;
  };
  const markOver = (): void => {
    isOver = true;
    // Otherwise the end of the stream would never be read.
    stream.resume();
  };
  const handlers = streamHandlers(stream, markAsked, markOver);
  const receive = (bytes: Buffer): void => {
    if (isOver) {
      return;
    }
    const frame = decodeFrame(bytes);
    // A part that comes too early would be missing at the upstream.
    if (frame === undefined || (frame.kind === 'chunk' && !isAsked)) {
      stream.reject();
      return;
    }
    if (frame.kind === 'call') {
      exchange = begin(frame.head, handlers);
    } else if (frame.kind === 'chunk') {
      if (exchange?.sendChunk(frame.bytes) === false) {
        stream.pause();
      }
    } else if (frame.kind === 'end') {
      exchange?.sendEnd();
    }
  };
  stream.handle({
    onMessage: receive,
    onEnd: () => undefined,
    onError: () => {
      if (!isOver) {
        exchange?.cancel();
      }
    },
    onDrain: () => exchange?.resume(),
  });
}

function streamHandlers(
  stream: PeerStream,
  markAsked: () => void,
  markOver: () => void,
): ExchangeHandlers {
  const endWith = (bytes: Buffer): void => {
    markOver();
    stream.write(bytes);
    stream.end();
  };
  return {
    onContinue: () => {
      markAsked();
      stream.resume();
      stream.write(encodeFrame({kind: 'continue'}));
    },
    onQueued: () => undefined,
    onAnswer: (head) => {
      const bytes = encodeFrame({kind: 'answer', head});
      if (head.hasMore) {
        stream.write(bytes);
      } else {
        endWith(bytes);
      }
    },
    onChunk: (bytes) => stream.write(encodeFrame({kind: 'chunk', bytes})),
    onEnd: () => endWith(encodeFrame({kind: 'end'})),
    onRefusal: (refusal) => endWith(encodeFrame({kind: 'refusal', refusal})),
    onLost: () => {
      markOver();
      stream.cancel();
    },
  };
}
