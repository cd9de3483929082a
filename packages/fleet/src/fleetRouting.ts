// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Routes calls according to the version in force. */

import type {ServiceView} from '@lockpin/configuration';
import type {RandomSource, Resource} from '@lockpin/types';
import type {BoxDirectory} from './boxDirectory.js';
import {CustomerTable} from './customerTable.js';
import type {
  DeclaredConfiguration,
  DeclaredRoute,
} from './declaredConfiguration.js';
import {RouteTable} from './routeTable.js';
import {WeightedRoundRobin} from './weightedRoundRobin.js';

/** The route and the service of a call, both of the same version. */
export interface RoutedCall {
  readonly version: number;
  readonly route: Resource<'Route'>;
  readonly view: ServiceView;
  /** Anyone may call it without a key. */
  readonly isPublic: boolean;
}

/** Exists for as long as one version of the configuration is in force. */
export class FleetRouting {
  /** The customers of this version. */
  readonly customers: CustomerTable;
  private readonly table: RouteTable;
  private readonly roundRobins = new Map<string, WeightedRoundRobin>();
  private readonly views = new Map<string, ServiceView>();
  private readonly mostConnections: ReadonlyMap<string, number>;

  constructor(
    readonly configuration: DeclaredConfiguration,
    private readonly directory: BoxDirectory,
    private readonly random: RandomSource,
    before?: FleetRouting,
  ) {
    this.customers = new CustomerTable(configuration.customers);
    this.table = new RouteTable(configuration);
    this.mostConnections = new Map(
      configuration.services.map(({name, mostConnections}) => [
        name,
        mostConnections,
      ]),
    );
    before?.roundRobins.forEach((roundRobin, name) =>
      this.roundRobins.set(name, roundRobin),
    );
  }

  /** The route and service of a call; undefined if no route matches. */
  find(host: string, path: string): RoutedCall | undefined {
    const found = this.table.find(host, path);
    if (found === undefined) {
      return undefined;
    }
    return {
      version: this.configuration.version,
      route: found.rules,
      view: this.view(this.serviceFor(found)),
      isPublic: found.isPublic,
    };
  }

  /** The service as seen by calls; the same object until something changes. */
  view(service: string): ServiceView {
    const upstreams = this.directory.upstreamsOf(
      service,
      this.mostConnections.get(service) ?? DEFAULT_CONNECTIONS,
    );
    const known = this.views.get(service);
    if (known !== undefined && known.upstreams === upstreams) {
      return known;
    }
    const made = createView(service, this.configuration.version, upstreams);
    this.views.set(service, made);
    return made;
  }

  private serviceFor({rules, destinations}: DeclaredRoute): string {
    if (destinations.length === 1) {
      return destinations[0]?.service ?? '';
    }
    const known = this.roundRobins.get(rules.name);
    if (known !== undefined && isSameSplit(known.destinations, destinations)) {
      return known.next();
    }
    const made = new WeightedRoundRobin(destinations, this.random);
    this.roundRobins.set(rules.name, made);
    return made.next();
  }
}

/** Connections per upstream of a service that declares no limit. */
const DEFAULT_CONNECTIONS = 100;

function isSameSplit(
  a: WeightedRoundRobin['destinations'],
  b: WeightedRoundRobin['destinations'],
): boolean {
  return (
    a.length === b.length &&
    a.every(
      ({service, weight}, i) =>
        service === b[i]?.service && weight === b[i]?.weight,
    )
  );
}

function createView(
  name: string,
  version: number,
  upstreams: readonly Resource<'Upstream'>[],
): ServiceView {
  return {
    name,
    customer: name,
    upstreams,
    routes: [],
    service: {
      kind: 'Service',
      name,
      version,
      spec: {
        floorSlots: 0,
        targetSlots: 0,
        loadReportPath: '',
        sensitivity: 'fast',
        host: '',
        callerCredentialHash: '',
      },
    },
  };
}
