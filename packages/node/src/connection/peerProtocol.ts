// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/**
 * The gRPC service between nodes, defined in code so that no generator is
 * needed.
 */

import grpc from '@grpc/grpc-js';

const identity = (bytes: Buffer): Buffer => bytes;

const rawBytes = {
  requestSerialize: identity,
  requestDeserialize: identity,
  responseSerialize: identity,
  responseDeserialize: identity,
};

/**
 * Exchanges multiplexes exchanges with upstreams on one stream, Call carries
 * one exchange with a streamed request body, and Exchange carries one control
 * message.
 */
export const peerService = {
  call: {
    path: '/lockpin.Peer/Call',
    requestStream: true,
    responseStream: true,
    ...rawBytes,
  },
  exchanges: {
    path: '/lockpin.Peer/Exchanges',
    requestStream: true,
    responseStream: true,
    ...rawBytes,
  },
  exchange: {
    path: '/lockpin.Peer/Exchange',
    requestStream: false,
    responseStream: false,
    ...rawBytes,
  },
} as const satisfies grpc.ServiceDefinition;

/** A client of the peer service. */
export interface PeerClient extends grpc.Client {
  call(): grpc.ClientDuplexStream<Buffer, Buffer>;
  exchanges(): grpc.ClientDuplexStream<Buffer, Buffer>;
  exchange(
    request: Buffer,
    options: grpc.CallOptions,
    callback: (error: grpc.ServiceError | null, reply?: Buffer) => void,
  ): grpc.ClientUnaryCall;
}

const MAXIMUM_MESSAGE_BYTES = 4 * 1024 * 1024;

/**
 * Channel options of clients and servers. gRPC retries are off: lockpin itself
 * retries, and only calls that may run again.
 */
export const CHANNEL_OPTIONS: grpc.ChannelOptions = {
  'grpc.enable_retries': 0,
  'grpc.service_config_disable_resolution': 1,
  'grpc.max_receive_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.max_send_message_length': MAXIMUM_MESSAGE_BYTES,
  'grpc.initial_reconnect_backoff_ms': 100,
  'grpc.min_reconnect_backoff_ms': 100,
  'grpc.max_reconnect_backoff_ms': 2000,
  'grpc.use_local_subchannel_pool': 1,
  'grpc.client_idle_timeout_ms': 60_000,
  'grpc.keepalive_time_ms': 20_000,
  'grpc.keepalive_timeout_ms': 5000,
};

const GenericClient = grpc.makeGenericClientConstructor(
  peerService,
  'lockpin.Peer',
);

/** Creates a client of a node; it connects on first use. */
export function createPeerClient(address: string): PeerClient {
  const credentials = grpc.credentials.createInsecure();
  return new GenericClient(
    address,
    credentials,
    CHANNEL_OPTIONS,
  ) as unknown as PeerClient;
}
