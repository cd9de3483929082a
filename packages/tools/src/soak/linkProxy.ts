// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A TCP proxy on loopback with fault injection. */

import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {parseAddress, wasReset} from '@lockpin/utils';
import {LOOPBACK} from '../harness/ports.js';

/** A fault of a link. */
export type LinkFault =
  | {readonly kind: 'none'}
  /** Every chunk is delayed by this time. */
  | {readonly kind: 'delayed'; readonly milliseconds: number}
  /** No data passes in either direction until the fault is cleared. */
  | {readonly kind: 'silent'}
  /** Requests pass; answers are held back until the fault is cleared. */
  | {readonly kind: 'answers-blocked'}
  /** Open and new connections are reset. */
  | {readonly kind: 'resetting'};

/** A link without a fault. */
export const HEALTHY_LINK: LinkFault = {kind: 'none'};

/** One direction of one connection. */
interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly isAnswers: boolean;
  readonly buffered: Buffer[];
  /** The sender has ended its side; forwarded after the buffered data. */
  hasEnded: boolean;
}

/** Forwards connections to a target address. */
export class LinkProxy {
  private fault: LinkFault = HEALTHY_LINK;
  private readonly directions = new Set<Direction>();
  private readonly server: Server;

  constructor(private target: string) {
    this.server = createServer({allowHalfOpen: true}, (socket) =>
      this.accept(socket),
    );
  }

  async start(): Promise<string> {
    await new Promise<void>((done) => this.server.listen(0, LOOPBACK, done));
    const {port} = this.server.address() as AddressInfo;
    return `${LOOPBACK}:${port}`;
  }

  stop(): void {
    this.resetAll();
    this.server.close();
  }

  /** Sets the target of new connections. */
  retarget(target: string): void {
    this.target = target;
  }

  /** Sets the current fault, or clears it with HEALTHY_LINK. */
  setFault(fault: LinkFault): void {
    this.fault = fault;
    if (fault.kind === 'resetting') {
      this.resetAll();
    }
    this.directions.forEach((direction) => this.flush(direction));
  }

  private accept(caller: Socket): void {
    if (this.fault.kind === 'resetting') {
      reset(caller);
      return;
    }
    const address = parseAddress(this.target);
    if (address === undefined) {
      throw new Error(`invalid link target address: ${this.target}`);
    }
    const callee = connect({...address, noDelay: true, allowHalfOpen: true});
    caller.setNoDelay(true);
    this.forward(caller, callee, false);
    this.forward(callee, caller, true);
  }

  private forward(from: Socket, to: Socket, isAnswers: boolean): void {
    const direction: Direction = {
      from,
      to,
      isAnswers,
      buffered: [],
      hasEnded: false,
    };
    this.directions.add(direction);
    from.on('data', (bytes: Buffer) => this.receive(direction, bytes));
    from.on('end', () => {
      if (wasReset(from)) {
        reset(to);
        return;
      }
      direction.hasEnded = true;
      this.flush(direction);
    });
    // Propagates a reset of one side to the other.
    from.on('error', () => reset(to));
    from.on('close', () => this.directions.delete(direction));
  }

  private receive(direction: Direction, bytes: Buffer): void {
    if (this.fault.kind === 'delayed') {
      const {milliseconds} = this.fault;
      setTimeout(() => this.write(direction, bytes), milliseconds);
      return;
    }
    direction.buffered.push(bytes);
    this.flush(direction);
  }

  /** Forwards buffered data unless the current fault holds it back. */
  private flush(direction: Direction): void {
    const {isAnswers, buffered, to} = direction;
    const {kind} = this.fault;
    if (kind === 'silent' || (kind === 'answers-blocked' && isAnswers)) {
      return;
    }
    buffered.splice(0).forEach((bytes) => this.write(direction, bytes));
    if (direction.hasEnded) {
      to.end();
    }
  }

  private write({to}: Direction, bytes: Buffer): void {
    if (to.writable) {
      to.write(bytes);
    }
  }

  private resetAll(): void {
    this.directions.forEach(({from}) => reset(from));
    this.directions.clear();
  }
}

/** A socket that is not open cannot be reset and would never close. */
function reset(socket: Socket): void {
  if (socket.readyState === 'open') {
    socket.resetAndDestroy();
  } else {
    socket.destroy();
  }
}
