// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Membership datagrams over UDP. */

import {createSocket} from 'node:dgram';
import type {Socket} from 'node:dgram';
import {isIPv6} from 'node:net';
import type {Datagram} from '@lockpin/membership';
import {parseAddress} from '@lockpin/utils';
import type {ControlTraffic} from '../process/controlTraffic.js';
import {decode, encode} from './codec.js';

/** Sends and receives membership datagrams on one address. */
export class DatagramSocket {
  private readonly socket: Socket;
  constructor(
    private readonly address: string,
    private readonly traffic: ControlTraffic,
    private readonly onDatagram: (datagram: Datagram) => void,
  ) {
    const {host} = parseAddress(address) ?? {host: ''};
    this.socket = createSocket(isIPv6(host) ? 'udp6' : 'udp4');
    this.socket.on('message', (bytes) => this.receive(bytes));
  }

  async start(): Promise<void> {
    const {host, port} = parseAddress(this.address) ?? {host: '', port: 0};
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, host, () => {
        this.socket.off('error', reject);
        this.socket.on('error', () => undefined);
        resolve();
      });
    });
  }

  send(address: string, datagram: Datagram): void {
    const target = parseAddress(address);
    if (target === undefined) {
      return;
    }
    const bytes = encode(datagram);
    this.traffic.sent('datagrams', bytes.length);
    this.socket.send(bytes, target.port, target.host, () => undefined);
  }

  stop(): void {
    this.socket.close();
  }

  /** Drops packets that are not valid datagrams. */
  private receive(bytes: Buffer): void {
    this.traffic.received('datagrams', bytes.length);
    const datagram = tryDecode(bytes);
    if (datagram !== undefined) {
      this.onDatagram(datagram);
    }
  }
}

function tryDecode(bytes: Buffer): Datagram | undefined {
  try {
    const datagram = decode<Partial<Datagram> | null>(bytes);
    const isValid =
      typeof datagram?.kind === 'string' &&
      typeof datagram.from?.box === 'string' &&
      Array.isArray(datagram.news) &&
      typeof datagram.version === 'number' &&
      typeof datagram.time?.milliseconds === 'number';
    return isValid ? (datagram as Datagram) : undefined;
  } catch {
    return undefined;
  }
}
