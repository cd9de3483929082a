// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Creates the parts of an entry's decision logic. */

import {UpstreamLoads} from '@lockpin/routing';
import {AnswerHandler} from './answerHandler.js';
import {AttemptFeedback} from './attemptFeedback.js';
import {AttemptTiming} from './attemptTiming.js';
import {CallOffers} from './callOffers.js';
import {CallRegistry} from './callRegistry.js';
import {EntryStop} from './entryStop.js';
import type {EntrySettings} from './entrySettings.js';
import {RecentRefusals} from './recentRefusals.js';
import {OfferPlanner} from './offerPlanner.js';
import {OverdueAttempts} from './overdueAttempts.js';
import {RetryPolicy} from './retryPolicy.js';
import {ReturnTimes} from './returnTimes.js';
import {UpstreamChooser} from './upstreamChooser.js';
import type {ChooserContext} from './upstreamChooser.js';

/** The parts that the state machine of an entry uses. */
export interface EntryComponents {
  readonly loads: UpstreamLoads;
  readonly retries: RetryPolicy;
  readonly calls: CallRegistry;
  readonly chooser: UpstreamChooser;
  readonly offers: CallOffers;
  readonly feedback: AttemptFeedback;
  readonly overdueAttempts: OverdueAttempts;
  readonly answers: AnswerHandler;
  readonly stop: EntryStop;
}

/** Creates the parts of one entry, which share its knowledge. */
export function createEntryComponents(
  place: Pick<ChooserContext, 'box' | 'dataCentre' | 'boxes'>,
  settings: EntrySettings,
): EntryComponents {
  const loads = new UpstreamLoads(settings.linkAvoidance);
  const retries = new RetryPolicy(settings);
  const timing = new AttemptTiming(settings, retries);
  const chooser = new UpstreamChooser({...place, loads, settings});
  const recentRefusals = new RecentRefusals();
  const returnTimes = new ReturnTimes();
  const learning = {loads, timing, recentRefusals, returnTimes};
  const feedback = new AttemptFeedback(learning);
  const planner = new OfferPlanner({
    settings,
    loads,
    chooser,
    timing,
    recentRefusals,
  });
  const overdueAttempts = new OverdueAttempts({
    settings,
    loads,
    retries,
    chooser,
    planner,
  });
  const calls = new CallRegistry(loads, overdueAttempts);
  const shared = {loads, retries, chooser, calls, overdueAttempts};
  const {boxes} = place;
  const stop = new EntryStop(timing);
  const offering = {boxes, settings, timing, planner, returnTimes, stop};
  const offers = new CallOffers({...shared, ...offering});
  const answers = new AnswerHandler({...shared, offers, feedback});
  return {...shared, offers, feedback, answers, stop};
}
