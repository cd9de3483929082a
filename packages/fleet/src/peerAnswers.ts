// Copyright (c) 2026 the lockpin contributors. MIT licence, see LICENSE.
/** What a node answers to the questions of its peers. */

import type {BoxDirectory} from './boxDirectory.js';
import type {DeclaredConfiguration} from './declaredConfiguration.js';
import type {PeerKnowledge, PeerQuestion} from './fleetMessages.js';

/** An answer, and what it was made of. */
interface MadeAnswer {
  readonly configuration: DeclaredConfiguration | undefined;
  readonly boxesDigest: number | undefined;
  readonly knowledge: PeerKnowledge;
}

/**
 * A new version is asked for by a whole data centre at once. All get the same
 * object, so that whoever sends it has to encode it only once.
 */
export class PeerAnswers {
  private last: MadeAnswer | undefined;

  constructor(private readonly directory: BoxDirectory) {}

  /** Tells only what the asker does not know. */
  to(
    {version, boxesDigest}: PeerQuestion,
    inForce: DeclaredConfiguration | undefined,
  ): PeerKnowledge {
    const {digest} = this.directory;
    const isNewer = inForce !== undefined && inForce.version > version;
    const tellsBoxes = boxesDigest !== undefined && boxesDigest !== digest;
    return this.answer(
      isNewer ? inForce : undefined,
      tellsBoxes ? digest : undefined,
    );
  }

  private answer(
    configuration: DeclaredConfiguration | undefined,
    boxesDigest: number | undefined,
  ): PeerKnowledge {
    const {last} = this;
    if (
      last !== undefined &&
      last.configuration === configuration &&
      last.boxesDigest === boxesDigest
    ) {
      return last.knowledge;
    }
    const boxes = boxesDigest === undefined ? [] : this.directory.all();
    const knowledge = {configuration, boxes};
    this.last = {configuration, boxesDigest, knowledge};
    return knowledge;
  }
}
