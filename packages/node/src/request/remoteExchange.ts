// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** An exchange with a guard on another box, on a connection of its own. */

import type {PeerClient} from '../connection/peerChannels.js';
import {isFinalStatus} from './answerSyntax.js';
import type {Exchange, ExchangeHandlers} from './exchange.js';
import {decodeFrame, encodeFrame} from './frames.js';
import type {CallHead, Frame} from './frames.js';

/** Starts an exchange whose request body follows in frames. */
export function beginRemoteExchange(
  client: PeerClient,
  head: CallHead,
  handlers: ExchangeHandlers,
): Exchange {
  const stream = client.call();
  let isOver = false;
  // Whether the guard has asked for the body.
  let isAsked = false;
  const lost = (wasSent: boolean): void => {
    if (!isOver) {
      isOver = true;
      handlers.onLost(wasSent);
    }
  };
  const receive = (bytes: Buffer): void => {
    if (isOver) {
      return;
    }
    const frame = decodeFrame(bytes);
    if (frame === undefined) {
      stream.reject();
      return;
    }
    if (frame.kind === 'answer' && !isFinalStatus(frame.head.status)) {
      // A guard of an earlier release passes on any status.
      lost(true);
      stream.cancel();
      return;
    }
    isOver = isLastFrame(frame);
    isAsked ||= frame.kind === 'continue';
    if (deliver(frame, handlers) === 'congested') {
      stream.pause();
    }
  };
  stream.handle({
    onMessage: receive,
    onEnd: () => lost(true),
    onError: lost,
    onDrain: () => {
      if (isAsked) {
        handlers.onContinue();
      }
    },
  });
  stream.write(encodeFrame({kind: 'call', head}));
  return {
    sendChunk: (bytes) => stream.write(encodeFrame({kind: 'chunk', bytes})),
    sendEnd: () => {
      stream.write(encodeFrame({kind: 'end'}));
      stream.end();
    },
    go: () => undefined,
    resume: () => stream.resume(),
    cancel: () => {
      isOver = true;
      stream.cancel();
    },
  };
}

function isLastFrame(frame: Frame): boolean {
  return (
    frame.kind === 'end' ||
    frame.kind === 'refusal' ||
    (frame.kind === 'answer' && !frame.head.hasMore)
  );
}

function deliver(
  frame: Frame,
  handlers: ExchangeHandlers,
): 'congested' | 'flowing' {
  switch (frame.kind) {
    case 'continue':
      handlers.onContinue();
      return 'flowing';
    case 'answer':
      handlers.onAnswer(frame.head);
      return 'flowing';
    case 'chunk':
      return handlers.onChunk(frame.bytes) ? 'flowing' : 'congested';
    case 'end':
      handlers.onEnd();
      return 'flowing';
    case 'refusal':
      handlers.onRefusal(frame.refusal);
      return 'flowing';
    default:
      return 'flowing';
  }
}
