// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** A TCP forwarder on loopback that can be told to misbehave. */

import {connect, createServer} from 'node:net';
import type {AddressInfo, Server, Socket} from 'node:net';
import {parseAddress} from '@lockpin/utils';
import {LOOPBACK} from '../harness/ports.js';

/** What a link does to the bytes on it. */
export type LinkFault =
  | {readonly kind: 'none'}
  /** Every piece arrives this much later. */
  | {readonly kind: 'delayed'; readonly milliseconds: number}
  /** Nothing arrives on the other side until the link heals. */
  | {readonly kind: 'silent'}
  /** Requests arrive, and their answers do not until the link heals. */
  | {readonly kind: 'answers-cut'}
  /** Open connections are reset, and so are new ones. */
  | {readonly kind: 'resetting'};

/** A link in order. */
export const HEALTHY_LINK: LinkFault = {kind: 'none'};

/** One direction of one connection. */
interface Direction {
  readonly from: Socket;
  readonly to: Socket;
  readonly isAnswers: boolean;
  readonly held: Buffer[];
  /** The sender has ended; passed on after what is held. */
  hasEnded: boolean;
}

/** Forwards connections to one address. */
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

  /** New connections go to this address from here on. */
  retarget(target: string): void {
    this.target = target;
  }

  /** Begins to misbehave in this way, or to work again. */
  setFault(fault: LinkFault): void {
    this.fault = fault;
    if (fault.kind === 'resetting') {
      this.resetAll();
    }
    this.directions.forEach((direction) => this.release(direction));
  }

  private accept(caller: Socket): void {
    if (this.fault.kind === 'resetting') {
      reset(caller);
      return;
    }
    const address = parseAddress(this.target);
    if (address === undefined) {
      throw new Error(`${this.target} is no address`);
    }
    const callee = connect({...address, noDelay: true, allowHalfOpen: true});
    caller.setNoDelay(true);
    this.join(caller, callee, false);
    this.join(callee, caller, true);
  }

  private join(from: Socket, to: Socket, isAnswers: boolean): void {
    const direction: Direction = {
      from,
      to,
      isAnswers,
      held: [],
      hasEnded: false,
    };
    this.directions.add(direction);
    from.on('data', (bytes: Buffer) => this.pass(direction, bytes));
    from.on('end', () => {
      direction.hasEnded = true;
      this.release(direction);
    });
    // A reset of one side is a reset of the other.
    from.on('error', () => reset(to));
    from.on('close', () => this.directions.delete(direction));
  }

  private pass(direction: Direction, bytes: Buffer): void {
    if (this.fault.kind === 'delayed') {
      const {milliseconds} = this.fault;
      setTimeout(() => this.write(direction, bytes), milliseconds);
      return;
    }
    direction.held.push(bytes);
    this.release(direction);
  }

  /** Passes on what is held, unless the link holds it back. */
  private release(direction: Direction): void {
    const {isAnswers, held, to} = direction;
    const {kind} = this.fault;
    if (kind === 'silent' || (kind === 'answers-cut' && isAnswers)) {
      return;
    }
    held.splice(0).forEach((bytes) => this.write(direction, bytes));
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

/** A socket that is not open has nothing to reset, and would never close. */
function reset(socket: Socket): void {
  if (socket.readyState === 'open') {
    socket.resetAndDestroy();
  } else {
    socket.destroy();
  }
}
