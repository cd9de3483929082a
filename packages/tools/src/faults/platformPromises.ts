// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** Which tests prove which promise on the users' platform, without their bench. */

import type {TestReference} from './matrix.js';

/** A promise, the tests that bring its failure about, and what is still open. */
export interface PlatformPromise {
  readonly promise: string;
  readonly tests: readonly TestReference[];
  /** Empty when nothing is. */
  readonly open: string;
}

const FLEET = 'platform/src/__tests__/platformFleet.test.ts';
const WORDS = 'platform/src/__tests__/translations.test.ts';
const BYTES = 'packages/node/src/__tests__/brokenAnswers.test.ts';
const SLOTS = 'packages/brain/src/__tests__/reservations.test.ts';
const ENTRY = 'packages/brain/src/__tests__/overdueCalls.test.ts';
const BRAIN = 'packages/fleet/src/__tests__/fleetBrain.test.ts';
const READERS = 'packages/fleet/src/__tests__/readingFleet.test.ts';
const STORE = 'packages/fleet/src/__tests__/storeTalk.test.ts';
const RESTORED = 'packages/fleet/src/__tests__/restoredStore.test.ts';
const CLIENT = 'platform/src/__tests__/storeClient.test.ts';
const RESTORE = 'platform/src/__tests__/restoredStore.test.ts';
const SILENCE = 'packages/fleet/src/__tests__/silentStore.test.ts';
const ROUTES = 'packages/fleet/src/__tests__/fleetRouting.test.ts';
const SETTINGS = 'packages/node/src/__tests__/fleetRetryBudget.test.ts';
const CRASHES = 'platform/src/__tests__/crashingRequests.test.ts';
const SUSPECTS = 'packages/fleet/src/__tests__/suspectRequests.test.ts';
const STATEMENTS = 'platform/src/__tests__/upstreamStatements.test.ts';
const OWN = 'packages/fleet/src/__tests__/ownUpstream.test.ts';
const WRITERS = 'packages/fleet/src/__tests__/otherWriters.test.ts';
const ENDS = 'packages/brain/src/__tests__/crashedUpstreams.test.ts';
const SUSPENSION = 'packages/node/src/__tests__/suspension.test.ts';
const CALLS = 'packages/brain/src/__tests__/callFaults.test.ts';
const RETRIES = 'packages/routing/src/__tests__/retriesThroughGaps.test.ts';
const CLOCK_GAIN = 'packages/limits/src/__tests__/clockGained.test.ts';
const LIMITS_THROUGH_FAULTS =
  'packages/limits/src/__tests__/limitWorld.test.ts';
const CLOCK = 'packages/utils/src/__tests__/countingClock.test.ts';
const BUNDLE = 'platform/src/__tests__/bundle.test.ts';
const SOAK = 'packages/tools/src/soak/__tests__/soak.test.ts';
const SOAKED = 'keeps every promise through kills, stops, pauses and bad links';
const IDLE = 'packages/brain/src/__tests__/idleUpstreams.test.ts';
const CHOICE = 'packages/routing/src/__tests__/fleetRouting.test.ts';

function promise(
  text: string,
  tests: readonly (readonly [file: string, title: string])[],
  open = '',
): PlatformPromise {
  const references = tests.map(([file, title]) => ({file, title}));
  return {promise: text, tests: references, open};
}

/** Every promise that the users' bench judges. */
export const PLATFORM_PROMISES: readonly PlatformPromise[] = [
  promise('whole answers, each to its own request', [
    [BYTES, 'takes no answer %s for whole that was reset'],
    [BYTES, 'takes bytes that are no answer for a failure'],
    [FLEET, 'answers calls of both kinds from every box, each its own'],
    [FLEET, 'passes an answer without a length on in the same form'],
    [WORDS, 'is judged by status %i and headers %j'],
  ]),
  promise('requests reach upstreams unchanged, in the right name', [
    [
      FLEET,
      'passes path and body on, and says itself in whose name a call began',
    ],
  ]),
  promise('what may run once never runs twice', [
    [
      FLEET,
      'never runs twice what may run once, and calls it unknown when it broke',
    ],
    [SLOTS, 'is given back unrun when no go comes, and a late go does nothing'],
    [SOAK, SOAKED],
  ]),
  promise('a refusal that says not run is true, now and later', [
    [SLOTS, 'is given back unrun when the entry cancels it'],
    [SOAK, SOAKED],
    [ENTRY, 'leaves the call not run when the time is over before any go'],
    [
      FLEET,
      'goes elsewhere when an upstream sheds, and promises truthfully when all do',
    ],
    [WORDS, 'for %s, %s, has status %i'],
  ]),
  promise('nothing is denied that the configuration allows', [
    [FLEET, 'refuses truthfully until it knows a configuration'],
    [ROUTES, 'finds the longest prefix of %s%s'],
  ]),
  promise('a call runs on no more upstreams than its route allows', [
    [ENTRY, 'is not repeated on a third, though the second failed too'],
    [ENTRY, 'leaves one run at the most beside it, as the route allows two'],
  ]),
  promise(
    'retries keep the budget in every window',
    [
      [CHOICE, 'keeps the limit in every window, whatever comes'],
      [CHOICE, 'keeps a limit that operators lower while it runs'],
      [
        SETTINGS,
        'are none but its share of calls while an earlier process may have spent them',
      ],
      [SLOTS, 'is paid for by first attempts that were sent, not by offers'],
      [SLOTS, 'costs nothing unless it is sent, and is never sent unpaid'],
      [
        SLOTS,
        'takes one more where a first attempt may be a repeat of its caller',
      ],
      [SLOTS, 'runs a repeat from when a second attempt is sent until it ends'],
      [ENTRY, 'are taken out of what the entry itself may repeat'],
      [SOAK, SOAKED],
    ],
    'a ratio that restarting guards spend twice is covered by a margin of 0.15, not proved',
  ),
  promise(
    'work ends when its caller leaves, and nothing more reaches upstreams',
    [
      [FLEET, 'cancels the work of a caller that left'],
      [SLOTS, 'is given back unrun when the entry cancels it'],
    ],
  ),
  promise(
    'a connection that goes silent without a reset holds nothing up for long',
    [
      [ENTRY, 'is passed over at no cost, whatever the kind of call'],
      [FLEET, 'serves on while the store is silent'],
      [SLOTS, 'is one that lets calls hang, before any of them ended'],
    ],
    'the renewal of a silent connection between nodes is played on the bench only',
  ),
  promise('a late word of a dead process says nothing of its successor', [
    [
      BRAIN,
      'is replaced by a new lifetime, and a late word of the old one is ignored',
    ],
  ]),
  promise('the time limit of a route is kept', [
    [
      FLEET,
      'answers at the time limit of the route, and says that the outcome is unknown',
    ],
  ]),
  promise('a leaving upstream gets nothing more', [
    [
      FLEET,
      'sends nothing to an upstream that said it drains, from the moment it was told',
    ],
    [SLOTS, 'is refused at once when its upstream begins to drain'],
    [SLOTS, 'stays truthful when the upstream drains before the go'],
    [BRAIN, 'is not revived by a late announcement after it left'],
    [SOAK, SOAKED],
  ]),
  promise('another process at an address gets no call', [
    [FLEET, 'never calls another process at the address of its upstream'],
  ]),
  promise(
    'healthy upstreams keep getting calls',
    [
      [SLOTS, 'is none whose failures follow from a failed call of its own'],
      [SLOTS, 'is none that is late with as many calls as its box holds up'],
      [SLOTS, 'is one that is late with more calls than its box holds up'],
      [
        CHOICE,
        'lets no part of the upstreams idle, from the first calls of a fleet on',
      ],
      [ENTRY, 'are asked to let the call wait, then asked again after a pause'],
      [
        IDLE,
        'keeps most healthy upstreams in use while many first calls hang (seed %i)',
      ],
      [IDLE, 'gets another call within two seconds if one has succeeded'],
    ],
    'that entries together use a share of them is not tested without the bench',
  ),
  promise('a planned stop cuts nothing', [
    [
      FLEET,
      'finishes what is in flight when it is stopped, and is not ready meanwhile',
    ],
    [FLEET, 'tells callers whose calls have not ended what became of them'],
    [BUNDLE, 'outlives a hangup that comes while it still starts'],
    [SOAK, SOAKED],
  ]),
  promise('a configuration is in force soon, and never goes back', [
    [FLEET, 'puts a new configuration in force everywhere'],
    [BRAIN, 'never goes back to an older version'],
    [
      SILENCE,
      'is everywhere in time: $boxes boxes in $dataCentres data centres',
    ],
    [
      RESTORED,
      'is everywhere in time, whichever offsets are given out again: $boxes boxes',
    ],
    [RESTORED, 'asks its peers before it serves by that'],
    [STORE, 'of a newer era ends all reads, and all is read anew at once'],
    [STORE, 'of an earlier era changes nothing, and is noted'],
    [BRAIN, 'is taken from a peer when the store does not answer'],
    [
      BRAIN,
      'is left to the store for a moment, then asked for in the own data centre',
    ],
    [READERS, 'is heard by those whose readers died at that very moment'],
    [
      READERS,
      'is heard by those whose readers are silent, and by one that is cut one way',
    ],
    [READERS, 'are others while the store turns them away'],
    [SOAK, SOAKED],
  ]),
  promise(
    'a request that ends each upstream that runs it is run no more',
    [
      [
        CRASHES,
        'is run no more once it has ended three, whichever box it is sent to',
      ],
      [CRASHES, 'is known by its body, and others at its path are served'],
      [CRASHES, 'is known by a body %s'],
      [CRASHES, 'is not taken for one that many callers send at the same time'],
      [CRASHES, 'is served as soon as its upstreams answer again'],
      [SUSPECTS, 'is kept out by all of %i boxes at once'],
      [SUSPECTS, 'is kept out soon where the readers die with it'],
      [
        SUSPECTS,
        'is still kept out after all boxes have lost their power at once',
      ],
    ],
    'a body whose beginning takes more than 200 ms to come has no digest',
  ),
  promise('what a restored store has lost, and was promised, is there again', [
    [
      RESTORED,
      'is everywhere in time, whichever offsets are given out again: $boxes boxes',
    ],
    [RESTORED, 'are written again by the boxes, each once: $boxes boxes'],
    [
      RESTORED,
      'are written again by all boxes where all are lost, not all at once',
    ],
    [
      RESTORED,
      'is kept out after a restore, the death of one box and the restart of all',
    ],
    [RESTORED, 'agrees soon after it is over, and the store has everyone'],
    [CLIENT, 'makes no whole of pages of two eras'],
    [RESTORE, 'is not served by an older configuration at any box'],
  ]),
  promise('an upstream that starts again under its id is a new one', [
    [STATEMENTS, 'is believed from its first word on'],
    [STATEMENTS, 'takes work though its predecessor has drained or left'],
    [STATEMENTS, 'answers calls, and those of its predecessor end at once'],
    [OWN, 'is the newest process that was heard, in whatever order'],
    [ENDS, 'ends the calls of its predecessor at once, each truthfully'],
  ]),
  promise('what other writers write names nothing to use; the others hold', [
    [STATEMENTS, 'is refused by its field %s: %j'],
    [STATEMENTS, 'is refused where it is no statement: %s'],
    [WRITERS, 'name nothing to use: %s of %j'],
    [WRITERS, 'do not keep a node from what follows them'],
    [WRITERS, 'throw nothing and cost nothing, whatever their bytes'],
  ]),
  promise(
    'a machine may be suspended',
    [
      [CLOCK, 'counts a suspension of %i ms'],
      [
        SUSPENSION,
        'no upstream counts as in service that was not heard of since',
      ],
      [SUSPENSION, 'calls from before pay for no retry'],
      [SUSPENSION, 'once keys that were minted meanwhile run'],
      [CALLS, 'stays true when %s, at every step'],
      [LIMITS_THROUGH_FAULTS, 'never let more through, seed %i'],
      [
        RETRIES,
        'stay within their share through suspensions and steps of the clock',
      ],
    ],
    'no machine was suspended in a test of whole processes',
  ),
  promise('time of day may be set', [
    [CLOCK, 'does not move with time of day that is set forwards by an hour'],
    [CLOCK_GAIN, 'does not give out anew what boxes may still have in store'],
    [
      CLOCK_GAIN,
      'leaves its part with a silent pool for as long as the loan lasts',
    ],
    [LIMITS_THROUGH_FAULTS, 'make no tokens for time that did not pass'],
    [CALLS, 'stays true when %s and another fault comes too'],
  ]),
  promise('weights are kept', [
    [
      ROUTES,
      'keeps each share of any run of calls to within one call of each kind',
    ],
    [
      FLEET,
      'refuses what a part of a split has no room for, and moves none of it',
    ],
  ]),
  promise(
    'the fleet comes back after all of it was killed',
    [
      [STORE, 'is not written again by a restart that changes nothing'],
      [READERS, 'are found again after all boxes lost their power at once'],
      [SOAK, SOAKED],
    ],
    'a kill of all nodes at one moment is played on the bench only',
  ),
];
