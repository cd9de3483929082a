// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Turns callers' requests into calls; a request refused here has not run. */

import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Admission} from '@lockpin/limits';
import type {Result} from '@lockpin/types';
import {failure} from '@lockpin/utils';
import {afterNextPoll} from '../connection/afterNextPoll.js';
import type {CallAdmission} from './callAdmission.js';
import {readBodyFor} from './callerBody.js';
import type {CallerConnections} from './callerConnections.js';
import type {ArrivedRequest} from './callerExchange.js';
import type {CallerRequest, UnroutedRequest} from './callerRequest.js';
import {unavailabilityReason, refuseRequest} from './earlyRefusals.js';
import type {EntryServiceDependencies} from './entryServiceDependencies.js';
import {HeldBodies} from './heldBodies.js';
import {nestedCall} from './nestedCall.js';

/** A request accepted as a call. */
export interface ReceivedCall {
  readonly arrived: ArrivedRequest;
  /** The admission decision, when it is not known yet. */
  readonly pending: Promise<Admission> | undefined;
}

type UnreadRequest = Pick<ArrivedRequest, 'request' | 'response' | 'requestId'>;

/** Reads requests and refuses those that cannot become calls. */
export class CallReceiver {
  private readonly bodies = new HeldBodies();

  constructor(
    private readonly dependencies: EntryServiceDependencies,
    private readonly admission: CallAdmission,
    private readonly connections: CallerConnections,
  ) {}

  /** Undefined when the request was refused or its caller has disconnected. */
  async receive(
    request: IncomingMessage,
    response: ServerResponse,
    arrivedAt: number,
  ): Promise<ReceivedCall | undefined> {
    const {protocol} = this.dependencies;
    const requestId = protocol.requestId(request);
    const unread = {request, response, requestId};
    const call = await this.readCall(unread, arrivedAt);
    if (call === undefined) {
      return undefined;
    }
    const admission = this.admission.check(call);
    if (!(admission instanceof Promise) && admission.kind !== 'admitted') {
      this.admission.refuse(unread, call, admission);
      return undefined;
    }
    const body = await this.readBody(unread, call);
    if (body === undefined) {
      void this.admission.returnToken(call, admission);
      return undefined;
    }
    return this.admit({...unread, call, body, arrivedAt}, admission);
  }

  private async readCall(
    unread: UnreadRequest,
    arrivedAt: number,
  ): Promise<CallerRequest | undefined> {
    const {parentCall} = this.dependencies;
    const reason = unavailabilityReason(this.dependencies);
    if (reason === 'node-leaving') {
      return this.readNested(unread, arrivedAt);
    }
    if (reason !== undefined) {
      refuseRequest(this.dependencies, unread, reason);
      return undefined;
    }
    const read = await this.readConfirmed(unread.request);
    if (read.ok) {
      return nestedCall(arrivedAt, read.value, parentCall);
    }
    this.refuseUnrouted(unread, read.failure);
    return undefined;
  }

  /**
   * A node that takes no more calls still takes those of a call that runs on its
   * box: that one could not end without them.
   */
  private readNested(
    unread: UnreadRequest,
    arrivedAt: number,
  ): CallerRequest | undefined {
    const {protocol, parentCall} = this.dependencies;
    const read = protocol.read(unread.request);
    const call = read.ok
      ? nestedCall(arrivedAt, read.value, parentCall)
      : undefined;
    if (call?.isNested === true) {
      return call;
    }
    this.connections.endAfter(unread.request, unread.response);
    refuseRequest(this.dependencies, unread, 'node-leaving');
    return undefined;
  }

  /** Refuses a key as unknown only after a check against the newest keys. */
  private async readConfirmed(
    request: IncomingMessage,
  ): Promise<Result<CallerRequest, UnroutedRequest>> {
    const {protocol, confirmKeys} = this.dependencies;
    const read = protocol.read(request);
    const isKeyUnknown = !read.ok && read.failure.reason === 'key-unknown';
    if (!isKeyUnknown || confirmKeys === undefined) {
      return read;
    }
    const isConfirmed = await confirmKeys();
    const again = protocol.read(request);
    return again.ok || isConfirmed
      ? again
      : failure({...again.failure, reason: 'keys-outdated'});
  }

  private refuseUnrouted(
    unread: UnreadRequest,
    {reason, detail}: UnroutedRequest,
  ): void {
    const {requestId} = unread;
    refuseRequest(this.dependencies, unread, reason);
    if (detail !== undefined) {
      this.dependencies.onUnrouted?.({requestId, reason, ...detail});
    }
  }

  private async readBody(
    {request, response, requestId}: UnreadRequest,
    call: CallerRequest,
  ): Promise<ArrivedRequest['body'] | undefined> {
    const {largestBodyBytes} = this.dependencies;
    const body = await readBodyFor(
      request,
      call,
      largestBodyBytes(),
      this.bodies,
    );
    if (body.kind === 'too-large' || body.kind === 'slow') {
      const unread = {request, response, requestId};
      const reason =
        body.kind === 'slow' ? 'memory-exhausted' : 'body-too-large';
      refuseRequest(this.dependencies, unread, reason);
      return undefined;
    }
    // A caller may have left long before a busy node reads its request.
    await new Promise<void>(afterNextPoll);
    const hasLeft = response.destroyed || request.socket.writableEnded;
    return body.kind === 'cut' || hasLeft ? undefined : body;
  }

  /**
   * A streamed call is admitted first: a guard cannot hold its body until then.
   */
  private async admit(
    arrived: ArrivedRequest,
    admission: Admission | Promise<Admission>,
  ): Promise<ReceivedCall | undefined> {
    const isStreamed = arrived.body.kind === 'streamed';
    const known = isStreamed ? await admission : admission;
    if (known instanceof Promise) {
      return {arrived, pending: known};
    }
    if (known.kind === 'admitted') {
      return {arrived, pending: undefined};
    }
    this.admission.refuse(arrived, arrived.call, known);
    return undefined;
  }
}
