// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Configuration view and guards of the measured service. */

import {GuardStateMachine} from '@lockpin/brain';
import {
  ConfigurationState,
  foldChange,
  createWrite,
} from '@lockpin/configuration';
import type {ServiceView} from '@lockpin/configuration';
import {FIRST_FENCE} from '@lockpin/floor';
import {seededRandom} from '@lockpin/utils';
import type {MeasuredService} from './scenarios.js';
import {TRAFFIC} from './scenarios.js';

/** Name of the measured service. */
export const SERVICE_NAME = 'customer/service';

/** Starts a guard that has read the holders and knows the first fence. */
export function startMeasuredGuard(
  service: MeasuredService,
  upstream: ServiceView['upstreams'][number],
  i: number,
): GuardStateMachine {
  const random = seededRandom(i);
  const guard = new GuardStateMachine({box: `box-${i}`, incarnation: 'a'});
  const {sensitivity} = service;
  const services = [{name: SERVICE_NAME, sensitivity, upstreams: [upstream]}];
  guard.handle(0, random, {kind: 'services-changed', services});
  guard.handle(0, random, {kind: 'holders-read'});
  guard.handle(0, random, {
    kind: 'fence-learnt',
    service: SERVICE_NAME,
    fence: FIRST_FENCE,
  });
  return guard;
}

/** Builds the view of the service with the configuration reducer. */
export function createMeasuredView(service: MeasuredService): ServiceView {
  const state = new ConfigurationState();
  foldChange(state, {
    offset: 0,
    value: {
      kind: 'change',
      changeId: 'measure',
      author: 'measure',
      writes: [
        createWrite('Customer', 'customer', {}),
        createWrite('Service', SERVICE_NAME, {
          sensitivity: service.sensitivity,
        }),
        createWrite('Route', `${SERVICE_NAME}/read`, {
          pathPrefix: '/',
          repetition: 'repeatable',
          waitMilliseconds: TRAFFIC.waitMilliseconds,
        }),
        ...Array.from({length: service.upstreams}, (_, i) =>
          createWrite('Upstream', `${SERVICE_NAME}/upstream-${i}`, {
            address: `127.0.0.1:${9000 + i}`,
            dataCentre: `dc-${i % service.dataCentres}`,
            box: `box-${i}`,
            slots: service.slots,
          }),
        ),
      ],
    },
  });
  const view = state.service(SERVICE_NAME);
  if (view === undefined) {
    throw new Error('the configuration reducer rejected the measured service');
  }
  return view;
}
