// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Broadcasts run reports of boxes to all other boxes without the store. */

import type {BoxRecord} from './boxRecord.js';
import type {FleetAction, FleetUpdate} from './fleetMessages.js';
import type {NodeIdentity} from './nodeIdentity.js';
import type {ReaderSelection} from './readerSelection.js';
import type {RelayTree} from './relayTree.js';

/**
 * The store distributes these records as well, but readers batch box records
 * for up to 5 s, and a request that its caller retries ten times a second
 * crashes as many upstreams meanwhile. A box therefore notifies its readers and
 * the entries that call it, readers notify the readers of other data centres
 * about the boxes of their own, and each data centre forwards new records from
 * its readers on (see RelayTree).
 */
export class RunReportBroadcast {
  private pending: BoxRecord[] = [];

  constructor(
    private readonly identity: NodeIdentity,
    private readonly readers: ReaderSelection,
    private readonly relay: RelayTree,
  ) {}

  /** Whether there are records to broadcast. */
  get hasPending(): boolean {
    return this.pending.length > 0;
  }

  /** Adds a record with run reports that was new to this node. */
  enqueue(record: BoxRecord): void {
    this.pending.push(record);
  }

  /** The notifications to send now. */
  takeActions(now: number): readonly FleetAction[] {
    const {pending} = this;
    this.pending = [];
    return pending.flatMap((record) => this.notificationsFor(now, record));
  }

  private notificationsFor(
    now: number,
    record: BoxRecord,
  ): readonly FleetAction[] {
    const {box, dataCentre} = this.identity;
    const update: FleetUpdate = {kind: 'boxes', boxes: [record]};
    const isInOwnDataCentre = record.dataCentre === dataCentre;
    const remoteReaders =
      isInOwnDataCentre && this.readers.isReader
        ? this.readers.remoteReaders().map(({peerAddress}) => peerAddress)
        : [];
    const forwardTo = [...remoteReaders, ...this.relay.children];
    if (record.box !== box) {
      return notifyNodes(forwardTo, update);
    }
    const {near} = this.readers.followed(now);
    return [
      {kind: 'notify-entries', news: update},
      ...notifyNodes([...new Set([...near, ...forwardTo])], update),
    ];
  }
}

function notifyNodes(
  addresses: readonly string[],
  update: FleetUpdate,
): readonly FleetAction[] {
  return addresses.length === 0
    ? []
    : [{kind: 'notify-nodes', addresses, news: update}];
}
