// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Maps each guarantee on the users' platform to the tests that cover it. */

import type {TestReference} from './matrix.js';

/** A guarantee, the tests that try to break it, and what remains open. */
export interface PlatformGuarantee {
  readonly guarantee: string;
  readonly tests: readonly TestReference[];
  /** Uncovered cases; empty when there are none. */
  readonly open: string;
}

const PLATFORM_FLEET = 'platform/src/__tests__/platformFleet.test.ts';
const TRANSLATIONS = 'platform/src/__tests__/translations.test.ts';
const BROKEN_ANSWERS = 'packages/node/src/__tests__/brokenAnswers.test.ts';
const RESERVATIONS = 'packages/brain/src/__tests__/reservations.test.ts';
const OVERDUE_CALLS = 'packages/brain/src/__tests__/overdueCalls.test.ts';
const FLEET_STATE_MACHINE = 'packages/fleet/src/__tests__/fleetBrain.test.ts';
const READING_FLEET = 'packages/fleet/src/__tests__/readingFleet.test.ts';
const STORE_PROTOCOL = 'packages/fleet/src/__tests__/storeTalk.test.ts';
const RESTORED_STORE = 'packages/fleet/src/__tests__/restoredStore.test.ts';
const STORE_CLIENT = 'platform/src/__tests__/storeClient.test.ts';
const PLATFORM_RESTORED_STORE = 'platform/src/__tests__/restoredStore.test.ts';
const SILENT_STORE = 'packages/fleet/src/__tests__/silentStore.test.ts';
const FLEET_ROUTES = 'packages/fleet/src/__tests__/fleetRouting.test.ts';
const FLEET_RETRY_BUDGET =
  'packages/node/src/__tests__/fleetRetryBudget.test.ts';
const CRASHING_REQUESTS = 'platform/src/__tests__/crashingRequests.test.ts';
const SUSPECT_REQUESTS = 'packages/fleet/src/__tests__/suspectRequests.test.ts';
const UPSTREAM_STATEMENTS = 'platform/src/__tests__/upstreamStatements.test.ts';
const OWN_UPSTREAM = 'packages/fleet/src/__tests__/ownUpstream.test.ts';
const OTHER_WRITERS = 'packages/fleet/src/__tests__/otherWriters.test.ts';
const CRASHED_UPSTREAMS =
  'packages/brain/src/__tests__/crashedUpstreams.test.ts';
const SUSPENSION = 'packages/node/src/__tests__/suspension.test.ts';
const CALL_FAULTS = 'packages/brain/src/__tests__/callFaults.test.ts';
const RETRIES_THROUGH_GAPS =
  'packages/routing/src/__tests__/retriesThroughGaps.test.ts';
const CLOCK_GAIN = 'packages/limits/src/__tests__/clockGained.test.ts';
const LIMITS_THROUGH_FAULTS =
  'packages/limits/src/__tests__/limitWorld.test.ts';
const COUNTING_CLOCK = 'packages/utils/src/__tests__/countingClock.test.ts';
const BUNDLE = 'platform/src/__tests__/bundle.test.ts';
const SOAK = 'packages/tools/src/soak/__tests__/soak.test.ts';
const SOAK_TITLE =
  'keeps every promise through kills, stops, pauses and bad links';
const IDLE_UPSTREAMS = 'packages/brain/src/__tests__/idleUpstreams.test.ts';
const FLEET_USES_UPSTREAMS =
  'packages/node/src/__tests__/fleetUsesUpstreams.test.ts';
const OVERLAPPING_STOPS =
  'packages/node/src/__tests__/overlappingStops.test.ts';
const UPSTREAM_LIMIT = 'platform/src/__tests__/upstreamLimit.test.ts';
const UPSTREAM_LEAVING = 'platform/src/__tests__/upstreamLeaving.test.ts';
const LIMITED_SERVICE = 'packages/node/src/__tests__/limitedService.test.ts';
const REQUEST_RATE = 'packages/admission/src/__tests__/requestRate.test.ts';
const STATED_SOAK_TITLE =
  'keeps what upstreams state about their limits and departures';
const ROUTING_CHOICE = 'packages/routing/src/__tests__/fleetRouting.test.ts';

function guarantee(
  text: string,
  tests: readonly (readonly [file: string, title: string])[],
  open = '',
): PlatformGuarantee {
  const references = tests.map(([file, title]) => ({file, title}));
  return {guarantee: text, tests: references, open};
}

/** Every guarantee that the users' bench checks. */
export const PLATFORM_GUARANTEES: readonly PlatformGuarantee[] = [
  guarantee('whole answers, each to its own request', [
    [BROKEN_ANSWERS, 'takes no answer %s for whole that was reset'],
    [BROKEN_ANSWERS, 'takes bytes that are no answer for a failure'],
    [
      PLATFORM_FLEET,
      'answers calls of both kinds from every box, each its own',
    ],
    [
      PLATFORM_FLEET,
      'passes an answer without a length on whole and with its length',
    ],
    [TRANSLATIONS, 'is judged by status %i and headers %j'],
  ]),
  guarantee('requests reach upstreams unchanged, in the right name', [
    [
      PLATFORM_FLEET,
      'passes path and body on, and says itself in whose name a call began',
    ],
  ]),
  guarantee('what may run once never runs twice', [
    [
      PLATFORM_FLEET,
      'never runs twice what may run once, and calls it unknown when it broke',
    ],
    [
      RESERVATIONS,
      'is given back unrun when no go comes, and a late go does nothing',
    ],
    [SOAK, SOAK_TITLE],
  ]),
  guarantee('a refusal that says not run is true, now and later', [
    [RESERVATIONS, 'is given back unrun when the entry cancels it'],
    [SOAK, SOAK_TITLE],
    [
      OVERDUE_CALLS,
      'leaves the call not run when the time is over before any go',
    ],
    [
      PLATFORM_FLEET,
      'goes elsewhere when an upstream sheds, and promises truthfully when all do',
    ],
    [TRANSLATIONS, 'for %s, %s, has status %i'],
  ]),
  guarantee('nothing is denied that the configuration allows', [
    [PLATFORM_FLEET, 'refuses truthfully until it knows a configuration'],
    [FLEET_ROUTES, 'finds the longest prefix of %s%s'],
  ]),
  guarantee('a call runs on no more upstreams than its route allows', [
    [OVERDUE_CALLS, 'is not repeated on a third, though the second failed too'],
    [
      OVERDUE_CALLS,
      'leaves one run at the most beside it, as the route allows two',
    ],
  ]),
  guarantee(
    'retries keep the budget in every window',
    [
      [ROUTING_CHOICE, 'keeps the limit in every window, whatever comes'],
      [ROUTING_CHOICE, 'keeps a limit that operators lower while it runs'],
      [
        FLEET_RETRY_BUDGET,
        'are none but its share of calls while an earlier process may have spent them',
      ],
      [
        FLEET_RETRY_BUDGET,
        'keep the budget in every window through restarts, clock jumps and changes',
      ],
      [
        FLEET_RETRY_BUDGET,
        'leave room for repeats of other parties once one has arrived',
      ],
      [
        RESERVATIONS,
        'uses a retry if another process has the address of the upstream',
      ],
      [
        RESERVATIONS,
        'is paid for by first attempts that were sent, not by offers',
      ],
      [
        RESERVATIONS,
        'costs nothing unless it is sent, and is never sent unpaid',
      ],
      [
        RESERVATIONS,
        'takes one more where a first attempt may be a repeat of its caller',
      ],
      [
        RESERVATIONS,
        'runs a repeat from when a second attempt is sent until it ends',
      ],
      [OVERDUE_CALLS, 'are taken out of what the entry itself may repeat'],
      [SOAK, SOAK_TITLE],
    ],
    'repeats that upstreams make while they run a repeated call are counted, not prevented; with more guards than additional retries, each may exceed a window by one',
  ),
  guarantee(
    'work ends when its caller leaves, and nothing more reaches upstreams',
    [
      [PLATFORM_FLEET, 'cancels the work of a caller that left'],
      [RESERVATIONS, 'is given back unrun when the entry cancels it'],
    ],
  ),
  guarantee(
    'a connection that goes silent without a reset holds nothing up for long',
    [
      [OVERDUE_CALLS, 'is passed over at no cost, whatever the kind of call'],
      [PLATFORM_FLEET, 'serves on while the store is silent'],
      [RESERVATIONS, 'is one that lets calls hang, before any of them ended'],
    ],
    'the renewal of a silent connection between nodes is played on the bench only',
  ),
  guarantee('a late word of a dead process says nothing of its successor', [
    [
      FLEET_STATE_MACHINE,
      'is replaced by a new lifetime, and a late word of the old one is ignored',
    ],
  ]),
  guarantee('the time limit of a route is kept', [
    [
      PLATFORM_FLEET,
      'answers at the time limit of the route, and says that the outcome is unknown',
    ],
  ]),
  guarantee('a leaving upstream gets nothing more', [
    [
      PLATFORM_FLEET,
      'sends nothing to an upstream that said it drains, from the moment it was told',
    ],
    [RESERVATIONS, 'is refused at once when its upstream begins to drain'],
    [RESERVATIONS, 'stays truthful when the upstream drains before the go'],
    [
      FLEET_STATE_MACHINE,
      'is not revived by a late announcement after it left',
    ],
    [SOAK, SOAK_TITLE],
  ]),
  guarantee('an upstream that states that it is leaving gets nothing more', [
    [
      UPSTREAM_LEAVING,
      'gets no request that was sent after its box had passed that on',
    ],
    [UPSTREAM_LEAVING, 'is known as such to all boxes'],
    [
      OWN_UPSTREAM,
      'takes no work once its answers state that it is leaving, whatever it announces',
    ],
    [
      LIMITED_SERVICE,
      'sends nothing from a box that passed on that an upstream is leaving (%i boxes in turn)',
    ],
    [SOAK, STATED_SOAK_TITLE],
  ]),
  guarantee('an upstream gets no more requests than it states to take', [
    [
      UPSTREAM_LIMIT,
      'gets no more requests than that from all boxes together (%s)',
    ],
    [LIMITED_SERVICE, 'keeps a limit of %f a second (%i boxes in turn)'],
    [
      REQUEST_RATE,
      'never exceeds the limit by more than a second of calls in any window',
    ],
    [SOAK, STATED_SOAK_TITLE],
  ]),
  guarantee(
    'a stated limit is used, and calls beyond it are served elsewhere or refused at once',
    [
      [
        LIMITED_SERVICE,
        'serves all calls in time while the others have room for them (%i of 15)',
      ],
      [
        LIMITED_SERVICE,
        'uses every limit to the full when all state %f a second, and refuses the rest at once',
      ],
      [LIMITED_SERVICE, 'returns to its upstreams when a limit ends'],
    ],
  ),
  guarantee('another process at an address gets no call', [
    [
      PLATFORM_FLEET,
      'never calls another process at the address of its upstream',
    ],
  ]),
  guarantee(
    'healthy upstreams keep getting calls',
    [
      [
        RESERVATIONS,
        'is none whose failures follow from a failed call of its own',
      ],
      [
        RESERVATIONS,
        'is none that is late with as many calls as its box holds up',
      ],
      [
        RESERVATIONS,
        'is one that is late with more calls than its box holds up',
      ],
      [
        ROUTING_CHOICE,
        'lets no part of the upstreams idle, from the first calls of a fleet on',
      ],
      [
        OVERDUE_CALLS,
        'are asked to let the call wait, then asked again after a pause',
      ],
      [
        IDLE_UPSTREAMS,
        'keeps most healthy upstreams in use while many first calls hang (seed %i)',
      ],
      [
        IDLE_UPSTREAMS,
        'gets another call within two seconds if one has succeeded',
      ],
      [
        FLEET_USES_UPSTREAMS,
        'are in use while cold, if they have just joined (%i calls a second)',
      ],
      [
        FLEET_USES_UPSTREAMS,
        'are in use again soon after all their calls in flight broke at once (%f repeatable)',
      ],
      [
        FLEET_USES_UPSTREAMS,
        'are in use again soon after half of them reset most calls for 5 s (%f repeatable)',
      ],
      [
        OVERLAPPING_STOPS,
        'serves nine of ten calls, since the upstreams of these nodes are healthy',
      ],
      [
        OVERLAPPING_STOPS,
        'uses upstreams that recover from failures, rather than refuse calls',
      ],
    ],
    'upstreams of a data centre without callers wait until the others are full',
  ),
  guarantee('a planned stop cuts nothing', [
    [
      PLATFORM_FLEET,
      'finishes what is in flight when it is stopped, and is not ready meanwhile',
    ],
    [
      PLATFORM_FLEET,
      'tells callers whose calls have not ended what became of them',
    ],
    [
      PLATFORM_FLEET,
      'is not ready before it is stopped, but serves its callers',
    ],
    [BUNDLE, 'outlives a hangup that comes while it still starts'],
    [SOAK, SOAK_TITLE],
  ]),
  guarantee('a configuration is in force soon, and never goes back', [
    [PLATFORM_FLEET, 'puts a new configuration in force everywhere'],
    [FLEET_STATE_MACHINE, 'never goes back to an older version'],
    [
      SILENT_STORE,
      'is everywhere in time: $boxes boxes in $dataCentres data centres',
    ],
    [
      RESTORED_STORE,
      'is everywhere in time, whichever offsets are given out again: $boxes boxes',
    ],
    [RESTORED_STORE, 'asks its peers before it serves by that'],
    [
      STORE_PROTOCOL,
      'of a newer era ends all reads, and all is read anew at once',
    ],
    [STORE_PROTOCOL, 'of an earlier era changes nothing, and is noted'],
    [
      FLEET_STATE_MACHINE,
      'is taken from a peer when the store does not answer',
    ],
    [
      FLEET_STATE_MACHINE,
      'is left to the store for a moment, then asked for in the own data centre',
    ],
    [READING_FLEET, 'is heard by those whose readers died at that very moment'],
    [
      READING_FLEET,
      'is heard by those whose readers are silent, and by one that is cut one way',
    ],
    [READING_FLEET, 'are others while the store turns them away'],
    [SOAK, SOAK_TITLE],
  ]),
  guarantee(
    'a request that ends each upstream that runs it is run no more',
    [
      [
        CRASHING_REQUESTS,
        'is run no more once it has ended three, whichever box it is sent to',
      ],
      [
        CRASHING_REQUESTS,
        'is known by its body, and others at its path are served',
      ],
      [CRASHING_REQUESTS, 'is known by a body %s'],
      [
        CRASHING_REQUESTS,
        'is not taken for one that many callers send at the same time',
      ],
      [CRASHING_REQUESTS, 'is served as soon as its upstreams answer again'],
      [SUSPECT_REQUESTS, 'is kept out by all of %i boxes at once'],
      [SUSPECT_REQUESTS, 'is kept out soon where the readers die with it'],
      [
        SUSPECT_REQUESTS,
        'is still kept out after all boxes have lost their power at once',
      ],
    ],
    'a body whose beginning takes more than 200 ms to come has no digest',
  ),
  guarantee(
    'what a restored store has lost, and was promised, is there again',
    [
      [
        RESTORED_STORE,
        'is everywhere in time, whichever offsets are given out again: $boxes boxes',
      ],
      [
        RESTORED_STORE,
        'are written again by the boxes, each once: $boxes boxes',
      ],
      [
        RESTORED_STORE,
        'are written again by all boxes where all are lost, not all at once',
      ],
      [
        RESTORED_STORE,
        'is kept out after a restore, the death of one box and the restart of all',
      ],
      [
        RESTORED_STORE,
        'agrees soon after it is over, and the store has everyone',
      ],
      [STORE_CLIENT, 'makes no whole of pages of two eras'],
      [
        PLATFORM_RESTORED_STORE,
        'is not served by an older configuration at any box',
      ],
    ],
  ),
  guarantee('an upstream that starts again under its id is a new one', [
    [UPSTREAM_STATEMENTS, 'is believed from its first word on'],
    [
      UPSTREAM_STATEMENTS,
      'takes work though its predecessor has drained or left',
    ],
    [
      UPSTREAM_STATEMENTS,
      'answers calls, and those of its predecessor end at once',
    ],
    [OWN_UPSTREAM, 'is the newest process that was heard, in whatever order'],
    [
      CRASHED_UPSTREAMS,
      'ends the calls of its predecessor at once, each truthfully',
    ],
  ]),
  guarantee('what other writers write names nothing to use; the others hold', [
    [UPSTREAM_STATEMENTS, 'is refused by its field %s: %j'],
    [UPSTREAM_STATEMENTS, 'is refused where it is no statement: %s'],
    [OTHER_WRITERS, 'name nothing to use: %s of %j'],
    [OTHER_WRITERS, 'do not keep a node from what follows them'],
    [OTHER_WRITERS, 'throw nothing and cost nothing, whatever their bytes'],
  ]),
  guarantee(
    'a machine may be suspended',
    [
      [COUNTING_CLOCK, 'counts a suspension of %i ms'],
      [
        SUSPENSION,
        'no upstream counts as in service that was not heard of since',
      ],
      [SUSPENSION, 'calls from before pay for no retry'],
      [SUSPENSION, 'once keys that were minted meanwhile run'],
      [CALL_FAULTS, 'stays true when %s, at every step'],
      [LIMITS_THROUGH_FAULTS, 'never let more through, seed %i'],
      [
        RETRIES_THROUGH_GAPS,
        'stay within their share through suspensions and steps of the clock',
      ],
    ],
    'no machine was suspended in a test of whole processes',
  ),
  guarantee('time of day may be set', [
    [
      COUNTING_CLOCK,
      'does not move with time of day that is set forwards by an hour',
    ],
    [CLOCK_GAIN, 'does not give out anew what boxes may still have in store'],
    [
      CLOCK_GAIN,
      'leaves its part with a silent pool for as long as the loan lasts',
    ],
    [LIMITS_THROUGH_FAULTS, 'make no tokens for time that did not pass'],
    [CALL_FAULTS, 'stays true when %s and another fault comes too'],
  ]),
  guarantee('weights are kept', [
    [
      FLEET_ROUTES,
      'keeps each share of any run of calls to within one call of each kind',
    ],
    [
      PLATFORM_FLEET,
      'refuses what a part of a split has no room for, and moves none of it',
    ],
  ]),
  guarantee(
    'the fleet comes back after all of it was killed',
    [
      [
        STORE_PROTOCOL,
        'is not written again by a restart that changes nothing',
      ],
      [
        READING_FLEET,
        'are found again after all boxes lost their power at once',
      ],
      [SOAK, SOAK_TITLE],
    ],
    'a kill of all nodes at one moment is played on the bench only',
  ),
];
