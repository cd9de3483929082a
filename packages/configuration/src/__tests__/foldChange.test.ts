// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Tests that folding is deterministic and that conflicts have no effect. */

import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {LogRecord, ResourceKind} from '@lockpin/types';
import {ConfigurationState} from '../configurationState.js';
import {createWrite} from '../createWrite.js';
import {foldChange} from '../foldChange.js';
import {decodeSnapshot, encodeSnapshot} from '../snapshot.js';

const NAMES = ['c', 'd'] as const;

const write = fc.oneof(
  fc.record({
    operation: fc.constant('put'),
    kind: fc.constant('Customer'),
    name: fc.constantFrom(...NAMES),
    basedOn: fc.constantFrom(-1, -1, -1, 0, 1),
    spec: fc.record({fairShareWeight: fc.integer({min: 1, max: 3})}),
  }),
  fc.record({
    operation: fc.constant('put'),
    kind: fc.constant('Service'),
    name: fc.constantFrom(...NAMES.map((name) => `${name}/s`)),
    basedOn: fc.constantFrom(-1, -1, -1, 0, 1),
    spec: fc.record({
      floorSlots: fc.nat({max: 4}),
      host: fc.constantFrom('', 'h'),
    }),
  }),
  fc.record({
    operation: fc.constant('put'),
    kind: fc.constant('Upstream'),
    name: fc.constantFrom('c/s/1', 'c/s/2', 'd/s/1'),
    basedOn: fc.constantFrom(-1, -1, -1, 0, 1),
    spec: fc.record({
      address: fc.constantFrom('127.0.0.1:1', '127.0.0.1:2', 'a-name:1'),
      dataCentre: fc.constant('one'),
      box: fc.constantFrom('a', 'b'),
      slots: fc.integer({min: 1, max: 4}),
      state: fc.constantFrom('in-service', 'in-service', 'draining'),
    }),
  }),
  fc.record({
    operation: fc.constant('delete'),
    kind: fc.constantFrom('Customer', 'Service', 'Upstream'),
    name: fc.constantFrom('c', 'd', 'c/s', 'c/s/1'),
    basedOn: fc.constantFrom(-1, -1, -1, 0, 1),
  }),
);

/** Initial resources for the later changes to conflict over. */
const INITIAL = {
  changeId: 'first',
  writes: [
    ...NAMES.map((name) => initialWrite('Customer', name, {})),
    ...NAMES.map((name) => initialWrite('Service', `${name}/s`, {})),
    ...['c/s/1', 'c/s/2', 'd/s/1'].map((name) =>
      initialWrite('Upstream', name, {
        address: '127.0.0.1:9',
        dataCentre: 'one',
        box: 'a',
        slots: 2,
      }),
    ),
  ],
};

function initialWrite(kind: string, name: string, spec: object) {
  return {operation: 'put', kind, name, basedOn: 0, spec};
}

const records = fc
  .array(
    fc.record({
      changeId: fc.nat({max: 60}).map((n) => `change-${n}`),
      writes: fc.array(write, {minLength: 1, maxLength: 3}),
    }),
    {minLength: 15, maxLength: 60},
  )
  .map((changes) => {
    const generated = new ConfigurationState();
    return [INITIAL, ...changes].map((change, offset): LogRecord<unknown> => {
      const writes = change.writes.map((each) => ({
        ...each,
        basedOn:
          each.basedOn < 0 ? currentVersion(generated, each) : each.basedOn,
      }));
      const value = {kind: 'change', author: 'test', ...change, writes};
      const record = {offset, value};
      foldChange(generated, record);
      return record;
    });
  });

/** Most writes are based on the current version; the others conflict. */
function currentVersion(
  state: ConfigurationState,
  {kind, name}: {readonly kind: string; readonly name: string},
): number {
  return state.get(kind as ResourceKind, name)?.version ?? 0;
}

function digestOf(state: ConfigurationState): string {
  return `${state.version} ${state.digest}`;
}

describe('foldChange', () => {
  it('reaches the same state through a snapshot at any position', () => {
    fc.assert(
      fc.property(records, fc.nat(), (all, position) => {
        const at = position % all.length;
        const direct = new ConfigurationState();
        const partial = new ConfigurationState();
        all.forEach((record) => foldChange(direct, record));
        all.slice(0, at).forEach((record) => foldChange(partial, record));
        const decoded = decodeSnapshot(encodeSnapshot(partial, 'writer', 0));
        expect(decoded.ok).toBe(true);
        if (decoded.ok) {
          all.slice(at).forEach((record) => foldChange(decoded.value, record));
          expect(digestOf(decoded.value)).toBe(digestOf(direct));
          const views = [...direct.services()];
          expect([...decoded.value.services()]).toEqual(
            expect.arrayContaining(views),
          );
        }
      }),
      {numRuns: 300, seed: 5},
    );
  });

  it('leaves the state unchanged after a refused or conflicting change', () => {
    fc.assert(
      fc.property(records, (all) => {
        const state = new ConfigurationState();
        for (const record of all) {
          const before = state.digest;
          const {outcome, effects} = foldChange(state, record);
          if (outcome.kind !== 'accepted') {
            expect(state.digest).toBe(before);
            expect(effects).toEqual([]);
          }
        }
      }),
      {numRuns: 300, seed: 6},
    );
  });

  it('never lowers a service to below its floor', () => {
    let drains = 0;
    fc.assert(
      fc.property(records, (all) => {
        const state = new ConfigurationState();
        const before = new Map<string, number>();
        for (const record of all) {
          const {effects} = foldChange(state, record);
          const changedUpstreams = effects.some(
            ({kind}) => kind === 'Upstream',
          );
          for (const view of state.services()) {
            const slots = view.upstreams
              .filter(({spec}) => spec.state === 'in-service')
              .reduce((sum, {spec}) => sum + spec.slots, 0);
            const previousSlots = before.get(view.name) ?? 0;
            if (changedUpstreams && slots < previousSlots) {
              drains += 1;
              expect(slots).toBeGreaterThanOrEqual(
                view.service.spec.floorSlots,
              );
            }
            before.set(view.name, slots);
          }
        }
      }),
      {numRuns: 300, seed: 8},
    );
    expect(drains).toBeGreaterThan(50);
  });

  it('keeps the upstreams of a service whose deletion is refused', () => {
    const state = new ConfigurationState();
    const fold = (offset: number, writes: readonly unknown[]) =>
      foldChange(state, {
        offset,
        value: {kind: 'change', changeId: `c-${offset}`, author: 't', writes},
      });
    const address = '127.0.0.1:1';
    fold(0, [
      createWrite('Customer', 'c', {}),
      createWrite('Service', 'c/s', {}),
      createWrite('Upstream', 'c/s/1', {
        address,
        dataCentre: 'one',
        box: 'a',
        slots: 1,
      }),
    ]);
    const before = state.service('c/s');
    const refused = fold(1, [
      {operation: 'delete', kind: 'Service', name: 'c/s', basedOn: 1},
    ]);
    expect(refused.outcome.kind).toBe('refused');
    expect(state.service('c/s')).toEqual(before);
  });

  it('reports the winning change of a conflict', () => {
    const state = new ConfigurationState();
    const change = (changeId: string, weight: number) => ({
      kind: 'change',
      changeId,
      author: 'test',
      writes: [
        {
          operation: 'put',
          kind: 'Customer',
          name: 'c',
          basedOn: 0,
          spec: {fairShareWeight: weight},
        },
      ],
    });
    foldChange(state, {offset: 0, value: change('first', 1)});
    const {outcome} = foldChange(state, {offset: 1, value: change('late', 2)});
    expect(outcome).toEqual({
      kind: 'conflict',
      version: 2,
      resource: 'Customer c',
      basedOn: 0,
      winnerVersion: 1,
      winnerChangeId: 'first',
    });
  });

  it('applies a repeated change only once', () => {
    const state = new ConfigurationState();
    const value = {
      kind: 'change',
      changeId: 'same',
      author: 'test',
      writes: [
        {operation: 'put', kind: 'Customer', name: 'c', basedOn: 0, spec: {}},
      ],
    };
    foldChange(state, {offset: 0, value});
    const {outcome, effects} = foldChange(state, {offset: 1, value});
    expect(outcome).toEqual({kind: 'accepted', version: 1});
    expect(effects).toEqual([]);
    expect(state.get('Customer', 'c')?.version).toBe(1);
  });
});
