// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The configuration in force on a node, folded from the log. */

import type {
  AnyResource,
  ChangeOutcome,
  Resource,
  ResourceKind,
} from '@lockpin/types';
import {canonicalJson, sha256Hex} from '@lockpin/utils';
import {orderRoutes} from './serviceView.js';
import type {ServiceView} from './serviceView.js';

/** Number of changes whose outcome is kept to recognise a repeated change. */
export const REMEMBERED_CHANGES = 4096;

const DIGEST_BYTES = 8;

/** The change that removed a resource, to report to a late writer. */
export interface LastWriter {
  readonly changeId: string;
  readonly version: number;
}

/**
 * Stores every resource by kind and name. Only the reducer writes to it; a
 * request keeps the ServiceView it started with.
 */
export class ConfigurationState {
  /** Offset of the next record to fold; also the version in force. */
  version = 0;
  private readonly resources = new Map<string, AnyResource>();
  private readonly views = new Map<string, ServiceView>();
  private readonly servicesByHost = new Map<string, string>();
  private readonly servicesByBox = new Map<string, Set<string>>();
  private readonly childCounts = new Map<string, number>();
  private readonly outcomes = new Map<string, ChangeOutcome>();
  private digestBits = 0n;

  /** Digest of all resources; equal for equal resources. */
  get digest(): string {
    return this.digestBits.toString(16).padStart(DIGEST_BYTES * 2, '0');
  }

  get size(): number {
    return this.resources.size;
  }

  get<K extends ResourceKind>(kind: K, name: string): Resource<K> | undefined {
    return this.resources.get(`${kind}:${name}`) as Resource<K> | undefined;
  }

  /** All resources, for listing and snapshots. */
  all(): IterableIterator<AnyResource> {
    return this.resources.values();
  }

  service(name: string): ServiceView | undefined {
    return this.views.get(name);
  }

  services(): IterableIterator<ServiceView> {
    return this.views.values();
  }

  serviceByHost(host: string): ServiceView | undefined {
    const name = this.servicesByHost.get(host);
    return name === undefined ? undefined : this.views.get(name);
  }

  /** Names of the services that have an upstream on a box. */
  servicesOfBox(box: string): ReadonlySet<string> {
    return this.servicesByBox.get(box) ?? new Set();
  }

  /** Number of resources that have this one as their parent. */
  childCount(name: string): number {
    return this.childCounts.get(name) ?? 0;
  }

  outcomeOf(changeId: string): ChangeOutcome | undefined {
    return this.outcomes.get(changeId);
  }

  rememberedOutcomes(): IterableIterator<[string, ChangeOutcome]> {
    return this.outcomes.entries();
  }

  rememberOutcome(changeId: string, outcome: ChangeOutcome): void {
    this.outcomes.set(changeId, outcome);
    if (this.outcomes.size > REMEMBERED_CHANGES) {
      const oldest = this.outcomes.keys().next().value;
      this.outcomes.delete(oldest as string);
    }
  }

  put(resource: AnyResource): void {
    const key = `${resource.kind}:${resource.name}`;
    const before = this.resources.get(key);
    this.resources.set(key, resource);
    this.digestBits ^= resourceDigest(resource);
    if (before === undefined) {
      this.countChild(resource.name, 1);
    } else {
      this.digestBits ^= resourceDigest(before);
    }
    this.index(before, resource);
  }

  delete(kind: ResourceKind, name: string): void {
    const before = this.resources.get(`${kind}:${name}`);
    if (before === undefined) {
      return;
    }
    this.resources.delete(`${kind}:${name}`);
    this.digestBits ^= resourceDigest(before);
    this.countChild(name, -1);
    this.index(before, undefined);
  }

  private countChild(name: string, by: number): void {
    const parent = parentName(name);
    if (parent === undefined) {
      return;
    }
    const count = this.childCount(parent) + by;
    if (count === 0) {
      this.childCounts.delete(parent);
    } else {
      this.childCounts.set(parent, count);
    }
  }

  private index(
    before: AnyResource | undefined,
    after: AnyResource | undefined,
  ): void {
    const resource = after ?? before;
    switch (resource?.kind) {
      case 'Service':
        this.indexService(
          before as Resource<'Service'> | undefined,
          after as Resource<'Service'> | undefined,
        );
        break;
      case 'Upstream':
        this.indexUpstream(
          before as Resource<'Upstream'> | undefined,
          after as Resource<'Upstream'> | undefined,
        );
        break;
      case 'Route':
        this.updateView(resource.name, (view) => ({
          ...view,
          routes: orderRoutes(
            replaceByName(
              sortByName(view.routes),
              resource.name,
              after as Resource<'Route'>,
            ),
          ),
        }));
        break;
    }
  }

  private indexService(
    before: Resource<'Service'> | undefined,
    after: Resource<'Service'> | undefined,
  ): void {
    if (before !== undefined && before.spec.host !== '') {
      this.servicesByHost.delete(before.spec.host);
    }
    if (after === undefined) {
      this.views.delete((before as Resource<'Service'>).name);
      return;
    }
    if (after.spec.host !== '') {
      this.servicesByHost.set(after.spec.host, after.name);
    }
    const view = this.views.get(after.name);
    this.views.set(after.name, {
      name: after.name,
      customer: parentName(after.name) ?? '',
      upstreams: view?.upstreams ?? [],
      routes: view?.routes ?? [],
      service: after,
    });
  }

  private indexUpstream(
    before: Resource<'Upstream'> | undefined,
    after: Resource<'Upstream'> | undefined,
  ): void {
    const name = (after ?? before)?.name ?? '';
    const service = parentName(name) ?? '';
    this.updateView(name, (view) => ({
      ...view,
      upstreams: replaceByName(view.upstreams, name, after),
    }));
    if (before !== undefined) {
      this.unindexBox(before.spec.box, service);
    }
    if (after !== undefined) {
      const services = this.servicesByBox.get(after.spec.box) ?? new Set();
      this.servicesByBox.set(after.spec.box, services.add(service));
    }
  }

  private unindexBox(box: string, service: string): void {
    const view = this.views.get(service);
    if (view?.upstreams.some(({spec}) => spec.box === box)) {
      return;
    }
    const services = this.servicesByBox.get(box);
    services?.delete(service);
    if (services?.size === 0) {
      this.servicesByBox.delete(box);
    }
  }

  private updateView(
    name: string,
    change: (view: ServiceView) => ServiceView,
  ): void {
    const service = parentName(name) ?? '';
    const view = this.views.get(service);
    if (view !== undefined) {
      this.views.set(service, change(view));
    }
  }
}

/** The name without its last part; undefined for a name of one part. */
export function parentName(name: string): string | undefined {
  const slash = name.lastIndexOf('/');
  return slash < 0 ? undefined : name.slice(0, slash);
}

function sortByName<T extends {readonly name: string}>(
  items: readonly T[],
): readonly T[] {
  return [...items].sort((a, b) => (a.name < b.name ? -1 : 1));
}

/** Inserts, replaces or removes an item; the items stay sorted by name. */
function replaceByName<T extends {readonly name: string}>(
  items: readonly T[],
  name: string,
  item: T | undefined,
): readonly T[] {
  const at = items.findIndex((candidate) => candidate.name >= name);
  const index = at < 0 ? items.length : at;
  const exists = items[index]?.name === name;
  const added = item === undefined ? [] : [item];
  return items.toSpliced(index, exists ? 1 : 0, ...added);
}

function resourceDigest(resource: AnyResource): bigint {
  const hash = sha256Hex(canonicalJson(resource));
  return BigInt(`0x${hash.slice(0, DIGEST_BYTES * 2)}`);
}
