// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * Parsing of IP addresses; host names are rejected, since no process may use
 * DNS.
 */

import {isIP} from 'node:net';

/** An IP address and port. */
export interface SocketAddress {
  readonly host: string;
  readonly port: number;
}

const MAXIMUM_PORT = 65_535;

/** Parses ip:port or [ip]:port; returns undefined for any other text. */
export function parseAddress(text: string): SocketAddress | undefined {
  const colon = text.lastIndexOf(':');
  if (colon < 0) {
    return undefined;
  }
  const host = text.slice(0, colon).replace(/^\[(.*)\]$/, '$1');
  const portText = text.slice(colon + 1);
  if (!/^\d{1,5}$/.test(portText) || isIP(host) === 0) {
    return undefined;
  }
  const port = Number(portText);
  return port <= MAXIMUM_PORT ? {host, port} : undefined;
}
