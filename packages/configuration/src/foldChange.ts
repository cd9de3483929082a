// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** The reducer, which is deterministic: equal records give equal states. */

import type {
  AnyResource,
  ChangeOutcome,
  ChangeRecord,
  FieldProblem,
  LogRecord,
  ResourceKind,
  Write,
} from '@lockpin/types';
import {parentName} from './configurationState.js';
import type {ConfigurationState} from './configurationState.js';
import {
  RESOURCE_LIMITS,
  checkName,
  checkSpec,
  isResourceKind,
} from './schemas.js';
import {inServiceSlots} from './serviceView.js';
import type {ServiceView} from './serviceView.js';

/** The result of folding a record, for watches and the timeline. */
export interface FoldResult {
  readonly changeId: string;
  readonly author: string;
  readonly outcome: ChangeOutcome;
  /** The resources that the record changed. */
  readonly effects: readonly ChangeEffect[];
}

/** One resource before and after a change. */
export interface ChangeEffect {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly before: AnyResource | undefined;
  readonly after: AnyResource | undefined;
}

/**
 * Folds one record into the state. The state's version always advances past the
 * record; a refused or conflicting change leaves all resources as they are.
 */
export function foldChange(
  state: ConfigurationState,
  record: LogRecord<unknown>,
): FoldResult {
  const version = record.offset + 1;
  state.version = version;
  const change = record.value;
  if (!isChangeRecord(change)) {
    return refuseRecord(version);
  }
  const knownOutcome = state.outcomeOf(change.changeId);
  if (knownOutcome !== undefined) {
    return {...identity(change), outcome: knownOutcome, effects: []};
  }
  const outcome =
    refusal(version, shapeProblems(change)) ??
    findConflict(state, change, version) ??
    applyWrites(state, change, version);
  if (outcome.kind !== 'applied') {
    state.rememberOutcome(change.changeId, outcome);
    return {...identity(change), outcome, effects: []};
  }
  const accepted: ChangeOutcome = {kind: 'accepted', version};
  state.rememberOutcome(change.changeId, accepted);
  return {...identity(change), outcome: accepted, effects: outcome.effects};
}

type AppliedWrites = {
  readonly kind: 'applied';
  readonly effects: readonly ChangeEffect[];
};

function identity(change: ChangeRecord): {
  readonly changeId: string;
  readonly author: string;
} {
  return {changeId: change.changeId, author: change.author};
}

function refuseRecord(version: number): FoldResult {
  const problem = {field: 'kind', problem: 'not a change record'};
  return {
    changeId: '',
    author: '',
    outcome: {kind: 'refused', version, problems: [problem]},
    effects: [],
  };
}

function isChangeRecord(value: unknown): value is ChangeRecord {
  const candidate = value as Partial<ChangeRecord> | null;
  return (
    typeof candidate === 'object' &&
    candidate?.kind === 'change' &&
    typeof candidate.changeId === 'string' &&
    typeof candidate.author === 'string' &&
    Array.isArray(candidate.writes)
  );
}

function refusal(
  version: number,
  problems: readonly FieldProblem[],
): ChangeOutcome | undefined {
  return problems.length === 0
    ? undefined
    : {kind: 'refused', version, problems};
}

/** Problems of a change that can be found without the state. */
export function shapeProblems(change: ChangeRecord): readonly FieldProblem[] {
  const {writes} = change;
  if (writes.length === 0 || writes.length > RESOURCE_LIMITS.writesPerChange) {
    const problem = `give 1 to ${RESOURCE_LIMITS.writesPerChange} writes`;
    return [{field: 'writes', problem}];
  }
  return writes.flatMap((write, i) =>
    writeProblems(write).map(({field, problem}) => ({
      field: `writes.${i}.${field}`,
      problem,
    })),
  );
}

function writeProblems(write: Write): readonly FieldProblem[] {
  if (!isResourceKind(write.kind)) {
    return [{field: 'kind', problem: 'no such kind of resource'}];
  }
  if (!Number.isSafeInteger(write.basedOn) || write.basedOn < 0) {
    return [{field: 'basedOn', problem: 'give the version it is based on'}];
  }
  const nameProblems = checkName(write.kind, write.name);
  if (write.operation === 'delete') {
    return nameProblems;
  }
  const checked = checkSpec(write.kind, write.spec);
  return checked.ok ? nameProblems : [...nameProblems, ...checked.failure];
}

function findConflict(
  state: ConfigurationState,
  change: ChangeRecord,
  version: number,
): ChangeOutcome | undefined {
  for (const {kind, name, basedOn} of change.writes) {
    const current = state.get(kind, name);
    const winnerVersion = current?.version ?? 0;
    if (winnerVersion !== basedOn) {
      return {
        kind: 'conflict',
        version,
        resource: `${kind} ${name}`,
        basedOn,
        winnerVersion,
        winnerChangeId: changeIdOf(state, winnerVersion),
      };
    }
  }
  return undefined;
}

function changeIdOf(state: ConfigurationState, version: number): string {
  for (const [changeId, outcome] of state.rememberedOutcomes()) {
    if (outcome.kind === 'accepted' && outcome.version === version) {
      return changeId;
    }
  }
  return '';
}

function applyWrites(
  state: ConfigurationState,
  change: ChangeRecord,
  version: number,
): ChangeOutcome | AppliedWrites {
  const services = touchedServices(state, change);
  const effects: ChangeEffect[] = [];
  const problems: FieldProblem[] = [];
  for (const write of orderWrites(change.writes)) {
    const unresolved = referenceProblems(state, write);
    problems.push(...unresolved);
    if (unresolved.length === 0) {
      effects.push(applyWrite(state, write, version));
    }
  }
  problems.push(...floorProblems(state, services));
  if (problems.length === 0) {
    return {kind: 'applied', effects};
  }
  for (const effect of effects.reverse()) {
    undo(state, effect);
  }
  return {kind: 'refused', version, problems};
}

/** Puts parents before children, and deletes children before parents. */
function orderWrites(writes: readonly Write[]): readonly Write[] {
  const depth = (write: Write): number => write.name.split('/').length;
  const puts = writes.filter(({operation}) => operation === 'put');
  const deletes = writes.filter(({operation}) => operation === 'delete');
  return [
    ...puts.sort((a, b) => depth(a) - depth(b)),
    ...deletes.sort((a, b) => depth(b) - depth(a)),
  ];
}

function referenceProblems(
  state: ConfigurationState,
  write: Write,
): readonly FieldProblem[] {
  const {kind, name, operation} = write;
  const field = `${kind} ${name}`;
  if (operation === 'delete') {
    const isParent = kind === 'Customer' || kind === 'Service';
    return isParent && state.childCount(name) > 0
      ? [{field, problem: 'delete what belongs to it first'}]
      : [];
  }
  const parent = parentName(name);
  const parentKind = kind === 'Service' ? 'Customer' : 'Service';
  if (parent !== undefined && state.get(parentKind, parent) === undefined) {
    return [{field, problem: `create ${parentKind} ${parent} first`}];
  }
  return kind === 'Service' ? hostProblems(state, write) : [];
}

function hostProblems(
  state: ConfigurationState,
  write: Write & {readonly operation: 'put'},
): readonly FieldProblem[] {
  const {host = ''} = write.spec as {readonly host?: string};
  const owner = host === '' ? undefined : state.serviceByHost(host);
  return owner === undefined || owner.name === write.name
    ? []
    : [{field: 'spec.host', problem: 'another service has this host'}];
}

function applyWrite(
  state: ConfigurationState,
  write: Write,
  version: number,
): ChangeEffect {
  const {kind, name} = write;
  const before = state.get(kind, name) as AnyResource | undefined;
  if (write.operation === 'delete') {
    state.delete(kind, name);
    return {kind, name, before, after: undefined};
  }
  const checked = checkSpec(kind, write.spec);
  const spec = checked.ok ? checked.value : undefined;
  const after = {kind, name, version, spec} as AnyResource;
  state.put(after);
  return {kind, name, before, after};
}

function undo(state: ConfigurationState, effect: ChangeEffect): void {
  if (effect.before === undefined) {
    state.delete(effect.kind, effect.name);
  } else {
    state.put(effect.before);
  }
}

function touchedServices(
  state: ConfigurationState,
  change: ChangeRecord,
): readonly ServiceView[] {
  const names = change.writes
    .filter(({kind}) => kind === 'Upstream')
    .map(({name}) => parentName(name) ?? '');
  return [...new Set(names)].flatMap((name) => {
    const view = state.service(name);
    return view === undefined ? [] : [view];
  });
}

/** A change must not lower the slots of a service to below its floor. */
function floorProblems(
  state: ConfigurationState,
  before: readonly ServiceView[],
): readonly FieldProblem[] {
  return before.flatMap((view) => {
    const current = state.service(view.name);
    if (current === undefined) {
      return [];
    }
    const floor = current.service.spec.floorSlots;
    const remaining = inServiceSlots(current);
    const isBelowFloor = remaining < floor && remaining < inServiceSlots(view);
    const problem = `leaves ${remaining} slots in service, below the floor of ${floor}; lower floorSlots first if that is meant`;
    return isBelowFloor ? [{field: `Service ${view.name}`, problem}] : [];
  });
}
