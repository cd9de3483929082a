// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which nodes of a simulated fleet reach each other. */

import type {RandomSource} from '@lockpin/types';

/** Direction of packets, as seen by a box or a data centre. */
export type Direction = 'incoming' | 'outgoing';

const BOTH: readonly Direction[] = ['incoming', 'outgoing'];

const NO_CUT = {name: '', isOutgoing: false, isIncoming: false};

/** A node of the network. */
export interface NetworkNode {
  readonly box: string;
  readonly dataCentre: string;
}

/** Drops packets of single boxes, of a data centre or of connections. */
export class SimulatedNetwork {
  private readonly withoutIncoming = new Set<string>();
  private readonly withoutOutgoing = new Set<string>();
  /** A data centre that packets to or from others do not leave or reach. */
  private cutDataCentre = NO_CUT;
  /** Connections that are open but deliver nothing. */
  private readonly silentConnections = new Set<string>();

  /** Drops all packets of a box in one direction from now on. */
  dropPackets(box: string, direction: Direction): void {
    const boxes =
      direction === 'incoming' ? this.withoutIncoming : this.withoutOutgoing;
    boxes.add(box);
  }

  /** Drops packets between a data centre and the others from now on. */
  cutOff(name: string, directions: readonly Direction[] = BOTH): void {
    const isOutgoing = directions.includes('outgoing');
    const isIncoming = directions.includes('incoming');
    this.cutDataCentre = {name, isOutgoing, isIncoming};
  }

  /** A share of the open connections goes silent without being closed. */
  silence(
    nodes: readonly NetworkNode[],
    share: number,
    random: RandomSource,
  ): void {
    for (const a of nodes) {
      for (const b of nodes) {
        if (a !== b && random() < share) {
          this.silentConnections.add(connectionOf(a, b));
        }
      }
    }
  }

  /** Replaces a silent connection. */
  reconnect(a: NetworkNode, b: NetworkNode): void {
    this.silentConnections.delete(connectionOf(a, b));
  }

  /** Whether packets from one node arrive at another. */
  isConnected(from: NetworkNode, to: NetworkNode): boolean {
    const {name, isOutgoing, isIncoming} = this.cutDataCentre;
    const isCut =
      from.dataCentre !== to.dataCentre &&
      ((isOutgoing && from.dataCentre === name) ||
        (isIncoming && to.dataCentre === name));
    return (
      !isCut &&
      !this.withoutOutgoing.has(from.box) &&
      !this.withoutIncoming.has(to.box) &&
      !this.silentConnections.has(connectionOf(from, to))
    );
  }

  /** Ends all faults. */
  heal(): void {
    this.withoutIncoming.clear();
    this.withoutOutgoing.clear();
    this.cutDataCentre = NO_CUT;
    this.silentConnections.clear();
  }
}

/** The connection between two nodes, whichever of them opened it. */
function connectionOf(a: NetworkNode, b: NetworkNode): string {
  return [a.box, b.box].sort().join(' ');
}
